package registry

// maxRemovals bounds the removals that are remembered. A peer that lacks older ones
// fetches the parts that differ.
const maxRemovals = 4096

// history tells what changed in a replica after a revision. It is not safe for concurrent
// use.
type history struct {
	// changedAt is a revision by which each record had its present content.
	changedAt map[string]uint64
	// removals are in the order in which this replica learnt of them, all of those
	// after from.
	removals []removal
	from     uint64
	begun    bool
}

type removal struct {
	name     string
	revision uint64
}

func newHistory() history { return history{changedAt: map[string]uint64{}} }

// begin notes the first list of all records: what was removed before is not known.
func (h *history) begin(revision uint64) {
	if !h.begun {
		h.begun, h.from = true, revision
	}
}

func (h *history) changed(name string, revision uint64) { h.changedAt[name] = revision }

func (h *history) removed(name string, revision uint64) {
	delete(h.changedAt, name)
	if len(h.removals) >= maxRemovals {
		h.from = max(h.from, h.removals[0].revision)
		h.removals = append(h.removals[:0], h.removals[1:]...)
	}
	h.removals = append(h.removals, removal{name: name, revision: revision})
}

// reaches says whether all removals after a revision are known.
func (h *history) reaches(revision uint64) bool { return h.begun && revision >= h.from }

// removedSince gives the names that were removed after a revision.
func (h *history) removedSince(revision uint64) []string {
	var names []string
	for _, r := range h.removals {
		if r.revision > revision {
			names = append(names, r.name)
		}
	}
	return names
}
