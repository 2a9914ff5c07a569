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

// Execute sums up by cause which requests were not served on time.
func (c *analyzeCommand) Execute([]string) error {
	requests, unread, err := c.read()
	if err != nil {
		return err
	}
	if unread > 0 {
		fmt.Fprintln(os.Stderr, "cherryctl:", unread, "lines of requests could not be read")
	}
	if len(requests) == 0 {
		return errors.New("no line tells of a request; the hosts log them at level info")
	}
	rows := losses.Summarize(requests, losses.Filter{Kind: c.Kind, Workspace: c.Workspace})
	return show(rows, func(w *tabwriter.Writer) {
		row(w, "CAUSE", "REQUESTS", "SHARE", "TOOK", "WAITED", "MOST AT", "EXAMPLE")
		for _, r := range rows {
			row(w, r.Cause, r.Requests, fmt.Sprintf("%.1f%%", 100*r.Share), fmt.Sprintf("%.0fms", r.MedianDurationMS),
				fmt.Sprintf("%.0fms", r.MedianLoadWaitMS), r.WorstWindow.Format("15:04:05"), orDash(r.Example))
		}
	})
}

func (c *analyzeCommand) read() (requests []losses.Request, unread int, err error) {
	if len(c.Args.Files) == 0 {
		return losses.ReadRequests(os.Stdin)
	}
	for _, name := range c.Args.Files {
		found, passed, err := readFile(name)
		if err != nil {
			return nil, 0, err
		}
		requests = append(requests, found...)
		unread += passed
	}
	return requests, unread, nil
}

func readFile(name string) ([]losses.Request, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.Wrap(err, "logs")
	}
	defer func(closer io.Closer) { _ = closer.Close() }(file)
	return losses.ReadRequests(file)
}
