package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/losses"
	"github.com/pkg/errors"
)

type analyzeCommand struct {
	Kind      string `long:"kind" description:"only requests of this kind: streaming, idempotent, non-idempotent"`
	Workspace string `long:"workspace" description:"only requests of this workspace"`
	Args      struct {
		Files []string `positional-arg-name:"FILE" description:"logs of hosts; standard input if none"`
	} `positional-args:"yes"`
}

// Execute summarizes by cause why requests were not served on time.
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
	summaries := losses.Summarize(requests, losses.Filter{Kind: c.Kind, Workspace: c.Workspace})
	return printResult(summaries, func(w *tabwriter.Writer) {
		printRow(w, "CAUSE", "REQUESTS", "SHARE", "TOOK", "WAITED", "MOST AT", "EXAMPLE")
		for _, r := range summaries {
			printRow(w, r.Cause, r.Requests, fmt.Sprintf("%.1f%%", 100*r.Share), fmt.Sprintf("%.0fms", r.MedianDurationMS),
				fmt.Sprintf("%.0fms", r.MedianLoadWaitMS), r.WorstWindow.Format("15:04:05"), dashIfEmpty(r.Example))
		}
	})
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
