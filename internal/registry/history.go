package registry

// maxRemovals bounds the remembered removals. A peer that lacks older ones fetches the
// parts that differ.
const maxRemovals = 4096

// history records what changed in a replica after which revision. It is not safe for
// concurrent use.
type history struct {
	// changedAt holds, by record name, a revision at which the record already had its
	// present content.
	changedAt map[string]uint64
	// removals are all removals after from, in the order in which this replica learned of
	// them.
	removals []removal
	from     uint64
	started  bool
}

type removal struct {
	name     string
	revision uint64
}

func newHistory() history { return history{changedAt: map[string]uint64{}} }

// begin starts the history at the first full listing. Removals before it are unknown.
func (h *history) begin(revision uint64) {
	if !h.started {
		h.started, h.from = true, revision
	}
}

func (h *history) noteChange(name string, revision uint64) { h.changedAt[name] = revision }

func (h *history) noteRemoval(name string, revision uint64) {
	delete(h.changedAt, name)
	if len(h.removals) >= maxRemovals {
		h.from = max(h.from, h.removals[0].revision)
		h.removals = append(h.removals[:0], h.removals[1:]...)
	}
	h.removals = append(h.removals, removal{name: name, revision: revision})
}

// covers reports whether all removals after a revision are known.
func (h *history) covers(revision uint64) bool { return h.started && revision >= h.from }

// removedSince returns the names that were removed after a revision.
func (h *history) removedSince(revision uint64) []string {
	var names []string
	for _, r := range h.removals {
		if r.revision > revision {
			names = append(names, r.name)
		}
	}
	return names
}
