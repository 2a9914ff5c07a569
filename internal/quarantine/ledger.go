package quarantine

import "time"

const (
	// endsToHold is the number of runners that end under a request before it is kept from
	// others. Two may be chance: a request that was cut off comes again, and may meet
	// another runner's end. The platform allows three.
	endsToHold = 3
	// sameEnd is the time within which two cut answers of one runner come from one end of
	// it. Hosts notice an end within some milliseconds of each other, and a runner takes
	// seconds to come back.
	sameEnd = time.Second
	// maxSuspects bounds the requests that ends are counted for. The loss of a data centre
	// of 148 runners with 75 requests each leaves 72 with each of 460 hosts.
	maxSuspects = 2048
)

// Cut is an answer that broke off, most likely since its runner ended.
type Cut struct {
	Content Fingerprint
	// Runner is the ID of the runner's lifetime.
	Runner string
	At     time.Time
}

// ledger counts the ends of runners under each request. It is not safe for concurrent use.
type ledger struct {
	ends map[Fingerprint][]end
}

type end struct {
	runner string
	at     time.Time
}

// count takes a cut into account and gives how many ends there are now, and when the first
// of them was. It gives 0 where there is no room.
func (l *ledger) count(cut Cut, now time.Time) (ends int, first time.Time) {
	known, ok := l.ends[cut.Content]
	if !ok && len(l.ends) >= maxSuspects {
		l.forgetOld(now)
		if len(l.ends) >= maxSuspects {
			return 0, time.Time{}
		}
	}
	known = recent(known, now)
	if !counted(known, cut) {
		known = append(known, end{runner: cut.Runner, at: cut.At})
	}
	l.ends[cut.Content] = known
	return len(known), known[0].at
}

// counted says whether an end is known already, told by another request or host.
func counted(known []end, cut Cut) bool {
	for _, e := range known {
		if e.runner == cut.Runner && cut.At.Sub(e.at).Abs() < sameEnd {
			return true
		}
	}
	return false
}

// recent drops what no longer counts.
func recent(known []end, now time.Time) []end {
	kept := known[:0]
	for _, e := range known {
		if now.Sub(e.at) < memory {
			kept = append(kept, e)
		}
	}
	return kept
}

func (l *ledger) forget(content Fingerprint) { delete(l.ends, content) }

func (l *ledger) forgetOld(now time.Time) {
	for content, known := range l.ends {
		if now.Sub(known[len(known)-1].at) >= memory {
			delete(l.ends, content)
		}
	}
}
