package serve

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// An answer without a length ends while its host stands still, or behind another host. Only the runner itself
// can tell then whether its process ended with it: one that is back takes connections.
func TestEndsThatCannotBeSeenAreAsked(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		stoodStill time.Duration
		relay      string
		startedMS  int64
		err        error
		brokeOff   bool
	}{
		"another process after a standstill": {stoodStill: 3 * time.Second, startedMS: 8, brokeOff: true},
		"the same process":                   {stoodStill: 3 * time.Second, startedMS: 7},
		"no word of it":                      {stoodStill: 3 * time.Second, err: errors.New("silent"), brokeOff: true},
		"another process behind a relay":     {relay: "h2", startedMS: 8, brokeOff: true},
		"the same one behind a relay":        {relay: "h2", startedMS: 7},
	} {
		t.Run(name, func(t *testing.T) {
			monitor := &standstill.Monitor{}
			monitor.Tick(at(0))
			monitor.Tick(at(50 + int(test.stoodStill.Milliseconds())))
			server := &Server{Deps: Deps{
				Standstill: monitor, Now: func() time.Time { return at(100 + int(test.stoodStill.Milliseconds())) },
				ProcessStart: func(context.Context, string) (int64, error) { return test.startedMS, test.err },
			}}
			x := &exchange{l: &lifecycle{call: &call{s: server, service: &site.Service{Engine: &site.Engine{}}}}, startedMS: 7, sentAt: at(0), ctx: t.Context()}
			must.Eq(t, test.brokeOff, x.brokeOff(nil, &forward.Response{EndsWithConnection: true, Relay: test.relay}))
		})
	}
}
