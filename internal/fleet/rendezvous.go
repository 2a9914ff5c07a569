package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by rendezvous hashing for a key, the first choice first. All
// nodes compute the same order, and removing a member moves only the keys for which
// it came first.
func Rank(key string, members []string) []string {
	ranked := append([]string(nil), members...)
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member] = weight(key, member)
	}
	sort.Slice(ranked, func(i, j int) bool {
		if weights[ranked[i]] != weights[ranked[j]] {
			return weights[ranked[i]] > weights[ranked[j]]
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// First returns the first choice among members for a key, or "" if there are none.
func First(key string, members []string) string {
	best := ""
	var bestWeight uint64
	for _, member := range members {
		w := weight(key, member)
		if best == "" || w > bestWeight || (w == bestWeight && member < best) {
			best = member
			bestWeight = w
		}
	}
	return best
}

func weight(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
