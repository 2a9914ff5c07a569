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

// traced is the output of the command.
type traced struct {
	Lines []losses.TraceLine  `json:"lines"`
	Hosts []losses.HostToRead `json:"hosts"`
}

// Execute shows what hosts logged of one request, and which hosts' logs say more.
func (c *traceCommand) Execute([]string) error {
	logs, err := openAll(c.Args.Files)
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
	found := traced{Lines: lines, Hosts: losses.HostsToRead(lines)}
	return show(found, func(w *tabwriter.Writer) {
		row(w, "TIME", "HOST", "LINE", "WORKSPACE", "RUNNER", "WHY")
		for _, l := range found.Lines {
			row(w, l.At.Format("15:04:05.000"), l.Host, l.Message, orDash(l.Workspace), orDash(l.Runner), orDash(l.Explanation()))
		}
		row(w, "")
		row(w, "READ", "SINCE")
		for _, h := range found.Hosts {
			row(w, h.Host, h.Why)
		}
	})
}

// openAll reads files one after the other, or standard input without any. They are
// closed with the process.
func openAll(names []string) (io.Reader, error) {
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
