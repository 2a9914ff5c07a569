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

const waitPollInterval = 100 * time.Millisecond

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
		status, err := newClient().Status(context.Background())
		if err != nil {
			return err
		}
		behind := hostsBehind(status, c.Args.Revision)
		if len(behind) == 0 {
			return printResult(status.Hosts, func(w *tabwriter.Writer) {
				printRow(w, fmt.Sprintf("revision %d is in force on %d hosts", c.Args.Revision, len(status.Hosts)))
			})
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(errTimeout, "revision %d is not known to be in force on %v", c.Args.Revision, behind)
		}
		time.Sleep(waitPollInterval)
	}
}

// hostsBehind returns the live hosts on which a revision is not known to be in force: those with
// an older revision and those that are listed but not heard from. Hosts that are leaving and
// not heard from do not count.
func hostsBehind(status adminapi.Status, revision uint64) []string {
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
