package main

import (
	"io"
	"os"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/losses"
	"github.com/pkg/errors"
)

type traceCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"REQUEST" description:"the request's id" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs of hosts; standard input if none"`
	} `positional-args:"yes"`
}

// traceResult is the output of the command.
type traceResult struct {
	Lines []losses.TraceLine  `json:"lines"`
	Hosts []losses.HostToRead `json:"hosts"`
}

// Execute shows what hosts logged about a request, and which other logs to read.
func (c *traceCommand) Execute([]string) error {
	logs, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	lines, err := losses.ReadTrace(logs, c.Args.ID)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Errorf("no line tells of request %q", c.Args.ID)
	}
	result := traceResult{Lines: lines, Hosts: losses.HostsToRead(lines)}
	return printResult(result, func(w *tabwriter.Writer) {
		printRow(w, "TIME", "HOST", "LINE", "WORKSPACE", "RUNNER", "WHY")
		for _, l := range result.Lines {
			printRow(w, l.At.Format("15:04:05.000"), l.Host, l.Message, dashIfEmpty(l.Workspace), dashIfEmpty(l.Runner), dashIfEmpty(l.Explanation()))
		}
		printRow(w, "")
		printRow(w, "READ", "SINCE")
		for _, h := range result.Hosts {
			printRow(w, h.Host, h.Why)
		}
	})
}

// openLogs returns the concatenated content of files, or standard input if there are none. The
// files are closed when the process exits.
func openLogs(names []string) (io.Reader, error) {
	if len(names) == 0 {
		return os.Stdin, nil
	}
	readers := make([]io.Reader, 0, len(names))
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "logs")
		}
		readers = append(readers, file)
	}
	return io.MultiReader(readers...), nil
}
