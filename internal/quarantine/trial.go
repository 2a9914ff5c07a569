package quarantine

import "time"

// trialDelays are the times from the blocking of a part that was sound before to its trials. If no
// answer was complete while runners were lost again and again, for reasons of their own, what all
// requests share was on each of them and is blamed. Without a trial nothing could clear it.
//
// There are as many as the platform allows beyond the crashes until a part is known.
var trialDelays = []time.Duration{3 * time.Second, 10 * time.Second, time.Minute}

// SetTrialDecider sets the function that reports whether this host is the one that makes the trials
// of a part: all hosts together may only make len(trialDelays). It must be set before use.
func (q *Quarantine) SetTrialDecider(decides func(content Fingerprint) bool) {
	q.decidesTrials = decides
}

// TakeTrial reports whether a blocked request may be sent once, to find out whether the part for
// which it is blocked is still bad. Only a part that this host saw complete lately is tried, and, once, one
// of which all crashes came at one moment: it may have been in use on runners that were lost together.
func (q *Quarantine) TakeTrial(subjects []Subject, now time.Time) bool {
	part, ok := q.onlyBlocked(subjects, now)
	if !ok || part.Depth == 0 || !q.decidesTrials(part.Fingerprint) {
		return false
	}
	at, completed := q.partCompletions.lastCompletion(part.Fingerprint)
	wasSound := completed && now.Sub(at) < evidenceTTL
	q.mu.Lock()
	defer q.mu.Unlock()
	made := q.trials[part.Fingerprint]
	e := q.list.Load().entries[part.Fingerprint]
	mayBeLoss := made == 0 && len(e.crashes) > 0 && e.isOneLoss()
	if !wasSound && !mayBeLoss {
		return false
	}
	if made >= len(trialDelays) || now.Sub(e.changedAt) < trialDelays[made] {
		return false
	}
	q.trials[part.Fingerprint] = made + 1
	return true
}

// onlyBlocked returns the only subject that is blocked.
func (q *Quarantine) onlyBlocked(subjects []Subject, now time.Time) (only Subject, ok bool) {
	for _, subject := range subjects {
		if _, blocked := q.BlockedFor(subject.Fingerprint, now); !blocked {
			continue
		}
		if ok {
			return Subject{}, false
		}
		only, ok = subject, true
	}
	return only, ok
}
