package entry

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/shoenig/test/must"
)

// deployment holds the parameters that determine the worst-case propagation delay.
type deployment struct {
	name       string
	hosts      int
	mbps, core float64
	// configBound applies to configurations and leaving runners, versionBound to new versions.
	configBound, versionBound time.Duration
}

var deployments = []deployment{
	{"nine hosts", 9, 1000, 0.4, 2 * time.Second, 5 * time.Second},
	{"twenty hosts", 20, 1000, 0.4, 2 * time.Second, 5 * time.Second},
	{"88 hosts, narrowest links, smallest core share", 88, 10, 0.192, 3 * time.Second, 5 * time.Second},
	{"195 hosts", 195, 20, 0.192, 4 * time.Second, 5 * time.Second},
	{"460 hosts", 460, 20, 0.192, 4 * time.Second, 5 * time.Second},
}

// Cost of a response from the store.
const (
	// maxRecordBytes is the store's maximum record size, changedEntryBytes the size of the
	// runner entries and versions that change within a second.
	maxRecordBytes    = 1 << 20
	changedEntryBytes = 64 << 10
	// parsePerByte is the time to parse a configuration on a whole core.
	parsePerByte = 60 * time.Nanosecond
	// storeLatency includes the network round trip.
	storeLatency = 20 * time.Millisecond
)

// Worst-case delay from the acknowledgement of a change until a host applies it, if no peer
// relays it: the host queries the store before its data exceeds the maximum age, receives the
// response over its own link, and parses it with its share of a core. On every deployment the
// sum must stay below the bound.
func TestWorstCasePropagationDelay(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			for _, change := range []struct {
				name     string
				schedule watchSchedule
				bytes    float64
				bound    time.Duration
			}{
				{"configuration", configWatch, maxRecordBytes, d.configBound},
				{"runner leaves", runnerWatch, changedEntryBytes, d.configBound},
				{"version", versionWatch, changedEntryBytes, d.versionBound},
			} {
				terms := map[string]time.Duration{
					"maximum age":             change.schedule.maxAge,
					"longest wait for a turn": mesh.MaxFallbackDelay(d.hosts),
					"store latency":           storeLatency,
					"link transfer":           time.Duration(change.bytes * 8 / d.mbps * float64(time.Microsecond)),
					"parsing":                 time.Duration(change.bytes * float64(parsePerByte) / d.core),
				}
				sum := time.Duration(0)
				for _, takes := range terms {
					sum += takes
				}
				t.Logf("%s: %v: %s of %s", change.name, terms, sum, change.bound)
				must.Less(t, change.bound, sum)
			}
		})
	}
}
