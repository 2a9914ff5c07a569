package serve

import (
	"expvar"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds of the buckets in milliseconds, dense around the
// target latencies of 150 to 1000 ms.
var histogramBounds = [...]int64{5, 10, 20, 50, 100, 150, 200, 300, 400, 500, 600, 800, 1000, 1500, 2000, 3000, 5000, 10000}

// Histogram counts durations in buckets. It is safe for concurrent use.
type Histogram struct {
	counts [len(histogramBounds) + 1]atomic.Int64
}

var _ expvar.Var = (*Histogram)(nil)

// Observe counts one duration.
func (h *Histogram) Observe(took time.Duration) {
	ms := took.Milliseconds()
	for i, bound := range histogramBounds {
		if ms <= bound {
			h.counts[i].Add(1)
			return
		}
	}
	h.counts[len(histogramBounds)].Add(1)
}

// String returns the counts by upper bound in milliseconds as a JSON object.
func (h *Histogram) String() string {
	var text strings.Builder
	text.WriteByte('{')
	for i := range h.counts {
		if i > 0 {
			text.WriteByte(',')
		}
		bound := "more"
		if i < len(histogramBounds) {
			bound = strconv.FormatInt(histogramBounds[i], 10)
		}
		text.WriteString(strconv.Quote(bound) + ":" + strconv.FormatInt(h.counts[i].Load(), 10))
	}
	text.WriteByte('}')
	return text.String()
}
