package entry

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/shoenig/test/must"
)

// longestList is the number of parts that a header of 16 KB can name.
const longestList = 4096

// partsOf returns the parts of a crash of one runner.
func partsOf(runner string, count int, at time.Time) []quarantine.Truncation {
	var parts []quarantine.Truncation
	for i := range count {
		parts = append(parts, quarantine.Truncation{Content: quarantine.Fingerprint(i + 1), Depth: i + 1, Runner: runner, At: at, Elapsed: time.Duration(i) * time.Millisecond})
	}
	return parts
}

// A report of the longest prompt, and one of all that a host holds back, must stay far below the size
// that a message may have, or the parts would never be counted.
func TestReportsOfPartsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, count := range []int{1, 1000, longestList, maxReportedParts} {
		parts := partsOf("i-0123456789", count, now)
		encoded, err := json.Marshal(TruncationsParams{Parts: []PartTruncations{newPartTruncations(parts, now)}})
		must.NoError(t, err)
		must.LessEq(t, 22*count+200, len(encoded))
		must.Less(t, peer.MaxMessageBytes/8, len(encoded))
		var received TruncationsParams
		must.NoError(t, json.Unmarshal(encoded, &received))
		unpacked, err := received.Parts[0].truncations(now)
		must.NoError(t, err)
		must.Eq(t, parts, unpacked)
	}
}

// A malformed report must be refused, not counted in part.
func TestMalformedReportsOfPartsAreRefused(t *testing.T) {
	for _, packed := range [][]byte{make([]byte, packedPartSize-1), make([]byte, packedPartSize), make([]byte, packedPartSize*(maxReportedParts+1))} {
		_, err := PartTruncations{Runner: "r", Packed: packed}.truncations(time.Unix(1000, 0))
		must.Error(t, err)
	}
}

// Parts are reported by crash, those of whole requests each for itself.
func TestTruncationsAreSplitByCrash(t *testing.T) {
	at := time.Unix(1000, 0)
	due := slices.Concat(partsOf("r1", 3, at), partsOf("r2", 2, at), partsOf("r1", 1, at.Add(3*time.Second)), []quarantine.Truncation{{Content: 7, Runner: "r1", At: at}})
	requests, parts := splitTruncations(due)
	must.Len(t, 1, requests)
	sizes := ""
	for _, ofCrash := range parts {
		sizes += fmt.Sprint(ofCrash[0].Runner, ":", len(ofCrash), " ")
	}
	must.Eq(t, "r1:3 r2:2 r1:1 ", sizes)
}
