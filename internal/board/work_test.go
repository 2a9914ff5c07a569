package board

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Answers of a runner overtake each other, so that an older work time may arrive last.
func TestOlderWorkTimeIsIgnored(t *testing.T) {
	b, now := New(), time.Unix(1000, 0)
	must.False(t, b.WorkAnnouncedWithin(time.Minute, now))
	b.RecordWork("r", 250, now)
	b.RecordWork("r", 100, now.Add(-time.Second))
	b.RecordWork("r", 0, now.Add(time.Second))
	view := b.View("r", now.Add(300*time.Millisecond))
	must.Eq(t, 250, view.WorkPercent)
	must.Eq(t, 300*time.Millisecond, view.WorkAge)
	must.True(t, b.WorkAnnouncedWithin(time.Minute, now.Add(time.Minute)))
	must.False(t, b.WorkAnnouncedWithin(time.Minute, now.Add(61*time.Second)))
}
