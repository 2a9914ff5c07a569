package entry

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

const relayedRunner, relayedAddress = "r0", "r0:80"

// relayedDecoder decodes each entry as the same runner.
type relayedDecoder struct{ slotDecoder }

func (relayedDecoder) StripRunner(spec json.RawMessage) json.RawMessage { return spec }

func (relayedDecoder) Runner(string, json.RawMessage) (*site.Runner, error) {
	return &site.Runner{ID: relayedRunner, Instance: relayedRunner, Service: plainService, Address: relayedAddress}, nil
}

// withLostPath runs a test with a host whose direct path to its runner fails.
func withLostPath(t *testing.T, run func(e *Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := directory.New(relayedDecoder{}, time.Now, hclog.NewNullLogger())
		d.Runners.Changed([]registry.Change{{Record: registry.Record{Name: relayedRunner, Revision: 1}}}, registry.Position{Revision: 1})
		noPath := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no path") }
		e := &Entry{directory: d, board: board.New(), connector: reach.DirectOnly(noPath)}
		e.connector.Paths.DirectFailed(relayedAddress, 2, false, time.Now())
		run(e)
		synctest.Wait()
	})
}

// Responses of a runner break off on a host that loses its path to it, and a relay reaches it after
// that. It has not crashed.
func TestRunnerThatARelayReachesHasNotCrashed(t *testing.T) {
	withLostPath(t, func(e *Entry) {
		brokeOff := time.Now()
		time.Sleep(time.Second)
		e.connector.Paths.RelayWorked(relayedAddress, "h2", time.Now())
		must.Eq(t, quarantine.Alive, e.runnerLiveness(relayedRunner, brokeOff))
	})
}

// A relay reached a runner before one of its responses broke off. It may have crashed since.
func TestRelayThatReachedARunnerBeforeProvesNothing(t *testing.T) {
	withLostPath(t, func(e *Entry) {
		e.connector.Paths.RelayWorked(relayedAddress, "h2", time.Now())
		time.Sleep(time.Second)
		must.Eq(t, quarantine.Unknown, e.runnerLiveness(relayedRunner, time.Now()))
	})
}
