package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/pkg/errors"
)

const waitPoll = 100 * time.Millisecond

var errTimeout = errors.New("not in time")

type waitCommand struct {
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait"`
	Args    struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute waits until a revision is in force on every live host.
func (c *waitCommand) Execute([]string) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		status, err := client().Status(context.Background())
		if err != nil {
			return err
		}
		behind := behindOf(status, c.Args.Revision)
		if len(behind) == 0 {
			return show(status.Hosts, func(w *tabwriter.Writer) {
				row(w, fmt.Sprintf("revision %d is in force on %d hosts", c.Args.Revision, len(status.Hosts)))
			})
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(errTimeout, "revision %d is not known to be in force on %v", c.Args.Revision, behind)
		}
		time.Sleep(waitPoll)
	}
}

// behindOf gives the live hosts that are not known to have a revision in
// force: those behind, and those that are listed but not heard.
func behindOf(status adminapi.Status, revision uint64) []string {
	var behind []string
	for _, host := range status.Hosts {
		if host.State == fleet.StateLeaving && !host.Alive {
			continue
		}
		if host.Revision < revision || !host.Alive {
			behind = append(behind, host.Host)
		}
	}
	return behind
}
