package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/losses"
	"github.com/pkg/errors"
)

type analyzeCommand struct {
	Kind      string `long:"kind" description:"only requests of this kind: streaming, idempotent, non-idempotent"`
	Workspace string `long:"workspace" description:"only requests of this workspace"`
	By        string `long:"by" default:"cause" choice:"cause" choice:"rank" choice:"workspace" description:"sum up by cause, or count outcomes by rank (precedence) or workspace"`
	Args      struct {
		Files []string `positional-arg-name:"FILE" description:"logs of hosts; standard input if none"`
	} `positional-args:"yes"`
}

// maxGroupWidth is the number of characters of a group's name that are shown, so that a row fits
// in 80.
const maxGroupWidth = 32

// Execute summarizes by cause why requests were not served on time, or counts their outcomes.
func (c *analyzeCommand) Execute([]string) error {
	requests, unreadable, err := c.readRequests()
	if err != nil {
		return err
	}
	if unreadable > 0 {
		fmt.Fprintln(os.Stderr, "cherryctl:", unreadable, "lines of requests could not be read")
	}
	if len(requests) == 0 {
		return errors.New("no line tells of a request; the hosts log them at level info")
	}
	filter := losses.Filter{Kind: c.Kind, Workspace: c.Workspace}
	if by := losses.Grouping(c.By); by == losses.ByRank || by == losses.ByWorkspace {
		return printOutcomes(requests, filter, by)
	}
	summaries := losses.Summarize(requests, filter)
	return printResult(summaries, func(w *tabwriter.Writer) {
		printRow(w, "CAUSE", "REQUESTS", "SHARE", "TOOK", "WAITED", "MOST AT", "EXAMPLE")
		for _, r := range summaries {
			printRow(w, r.Cause, r.Requests, fmt.Sprintf("%.1f%%", 100*r.Share), fmt.Sprintf("%.0fms", r.MedianDurationMS),
				fmt.Sprintf("%.0fms", r.MedianLoadWaitMS), r.WorstWindow.Format("15:04:05"), dashIfEmpty(r.Example))
		}
	})
}

func printOutcomes(requests []losses.Request, filter losses.Filter, by losses.Grouping) error {
	rows, err := losses.CountOutcomes(requests, filter, by)
	if err != nil {
		return err
	}
	return printResult(rows, func(w *tabwriter.Writer) {
		printRow(w, strings.ToUpper(string(by)), "REQUESTS", "ON TIME", "LATE", "REFUSED", "OTHER")
		for _, r := range rows {
			printRow(w, shorten(r.Group, maxGroupWidth), r.Requests, percent(r.OnTime, r.Requests), percent(r.Late, r.Requests),
				percent(r.Refused, r.Requests), percent(r.Other, r.Requests))
		}
	})
}

func percent(part, whole int) string { return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole)) }

// shorten cuts a text to a number of characters, the last of which then is an ellipsis.
func shorten(text string, most int) string {
	runes := []rune(text)
	if len(runes) <= most {
		return text
	}
	return string(runes[:most-1]) + "…"
}

func (c *analyzeCommand) readRequests() (requests []losses.Request, unreadable int, err error) {
	if len(c.Args.Files) == 0 {
		return losses.ReadRequests(os.Stdin)
	}
	for _, name := range c.Args.Files {
		fileRequests, unreadableInFile, err := readFile(name)
		if err != nil {
			return nil, 0, err
		}
		requests = append(requests, fileRequests...)
		unreadable += unreadableInFile
	}
	return requests, unreadable, nil
}

func readFile(name string) ([]losses.Request, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.Wrap(err, "logs")
	}
	defer func(closer io.Closer) { _ = closer.Close() }(file)
	return losses.ReadRequests(file)
}
