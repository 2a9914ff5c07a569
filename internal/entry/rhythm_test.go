package entry

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/shoenig/test/must"
)

// deployment is what the worst case of a change depends on.
type deployment struct {
	name       string
	hosts      int
	mbps, core float64
	// inForce bounds configurations and runners that leave, version new versions.
	inForce, version time.Duration
}

var deployments = []deployment{
	{"nine hosts", 9, 1000, 0.4, 2 * time.Second, 5 * time.Second},
	{"twenty hosts", 20, 1000, 0.4, 2 * time.Second, 5 * time.Second},
	{"88 hosts, narrowest links, least of a core", 88, 10, 0.192, 3 * time.Second, 5 * time.Second},
	{"195 hosts", 195, 20, 0.192, 4 * time.Second, 5 * time.Second},
	{"460 hosts", 460, 20, 0.192, 4 * time.Second, 5 * time.Second},
}

// What a store's answer costs a host.
const (
	// largestRecord is the most that the store holds in one record, changedEntries the size
	// of runners' entries and versions that change within a second.
	largestRecord  = 1 << 20
	changedEntries = 64 << 10
	// readingPerByte is of a whole core, for a configuration from the store.
	readingPerByte = 60 * time.Nanosecond
	// storeAnswer is what the store takes, with the way there and back.
	storeAnswer = 20 * time.Millisecond
)

// The worst case from a change's acknowledgement until a host goes by it, where nobody gives
// it to the host: it asks the store itself before its knowledge is too old, gets the answer
// over its own link, and reads it with its share of a core. On no deployment may the terms
// add up to more than the bound.
func TestWorstCaseIsBelowTheBound(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			for _, change := range []struct {
				name   string
				rhythm watchSchedule
				bytes  float64
				bound  time.Duration
			}{
				{"configuration", configWatch, largestRecord, d.inForce},
				{"runner leaves", runnerWatch, changedEntries, d.inForce},
				{"version", versionWatch, changedEntries, d.version},
			} {
				terms := map[string]time.Duration{
					"knowledge too old":  change.rhythm.maxAge,
					"the last turn":      mesh.LongestWait(d.hosts),
					"the store's answer": storeAnswer,
					"the host's link":    time.Duration(change.bytes * 8 / d.mbps * float64(time.Microsecond)),
					"reading":            time.Duration(change.bytes * float64(readingPerByte) / d.core),
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
