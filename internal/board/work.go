package board

import "time"

// workTime is the work time that a runner announced last.
type workTime struct {
	// percent is of the usual time, 0 if none was announced.
	percent int
	at      time.Time
}

// RecordWork records the work time that a runner announced at the given time, in percent of the
// usual time. An older announcement than the known one is ignored.
func (b *Board) RecordWork(runner string, percent int, at time.Time) {
	if percent <= 0 {
		return
	}
	b.withEntry(runner, func(e *entry) {
		if e.work.percent == 0 || at.After(e.work.at) {
			e.work = workTime{percent: percent, at: at}
		}
	})
	b.noteWorkAnnounced(at)
}

// noteWorkAnnounced keeps the time of the latest announcement of any runner.
func (b *Board) noteWorkAnnounced(at time.Time) {
	b.workMu.Lock()
	defer b.workMu.Unlock()
	if at.After(b.workAnnouncedAt) {
		b.workAnnouncedAt = at
	}
}

// WorkAnnouncedWithin reports whether any runner announced its work time within the period before
// now.
func (b *Board) WorkAnnouncedWithin(period time.Duration, now time.Time) bool {
	b.workMu.Lock()
	defer b.workMu.Unlock()
	return !b.workAnnouncedAt.IsZero() && now.Sub(b.workAnnouncedAt) <= period
}
