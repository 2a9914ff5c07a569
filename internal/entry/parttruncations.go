package entry

import (
	"encoding/binary"
	"time"

	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/pkg/errors"
)

// PartTruncations reports the truncations of one crash against parts of prompts.
type PartTruncations struct {
	Runner string `json:"runner"`
	AgeMS  int64  `json:"age_ms"`
	// Packed holds for each part its fingerprint (8 bytes), its depth (4 bytes) and how long the runner
	// had been processing the request, in milliseconds (4 bytes). A header of 16 KB names up to 4,096
	// parts; as objects they would take 100 bytes each.
	Packed []byte `json:"packed"`
}

// packedPartSize is the size of a part in PartTruncations.
const packedPartSize = 16

// maxReportedParts bounds the parts of one report: those that a host holds back at once.
const maxReportedParts = 16384

// maxPackedElapsed is the longest time that a packed part can tell.
const maxPackedElapsed = time.Hour

// newPartTruncations packs the truncations of one crash.
func newPartTruncations(parts []quarantine.Truncation, now time.Time) PartTruncations {
	params := PartTruncations{Runner: parts[0].Runner, AgeMS: now.Sub(parts[0].At).Milliseconds()}
	for _, part := range parts {
		params.Packed = binary.BigEndian.AppendUint64(params.Packed, uint64(part.Content))
		params.Packed = binary.BigEndian.AppendUint32(params.Packed, uint32(part.Depth))
		params.Packed = binary.BigEndian.AppendUint32(params.Packed, uint32(min(part.Elapsed, maxPackedElapsed).Milliseconds()))
	}
	return params
}

// truncations unpacks the truncations.
func (p PartTruncations) truncations(now time.Time) ([]quarantine.Truncation, error) {
	count := len(p.Packed) / packedPartSize
	if len(p.Packed)%packedPartSize != 0 || count > maxReportedParts {
		return nil, errors.Errorf("parts of prompts: %d bytes do not hold up to %d parts", len(p.Packed), maxReportedParts)
	}
	at := now.Add(-time.Duration(p.AgeMS) * time.Millisecond)
	truncations := make([]quarantine.Truncation, 0, count)
	for packed := p.Packed; len(packed) > 0; packed = packed[packedPartSize:] {
		depth := binary.BigEndian.Uint32(packed[8:])
		if depth == 0 {
			return nil, errors.New("parts of prompts: a part has no place")
		}
		truncations = append(truncations, quarantine.Truncation{
			Content: quarantine.Fingerprint(binary.BigEndian.Uint64(packed)), Depth: int(depth), Runner: p.Runner, At: at,
			Elapsed: time.Duration(binary.BigEndian.Uint32(packed[12:])) * time.Millisecond,
		})
	}
	return truncations, nil
}

// splitTruncations separates the truncations against whole requests from those against parts of prompts,
// the latter by crash.
func splitTruncations(truncations []quarantine.Truncation) (requests []quarantine.Truncation, parts [][]quarantine.Truncation) {
	crashes := map[string]int{}
	for _, truncation := range truncations {
		if truncation.Depth == 0 {
			requests = append(requests, truncation)
			continue
		}
		crash, ok := crashes[truncation.Runner]
		if !ok || truncation.At.Sub(parts[crash][0].At) >= quarantine.SameCrashWindow {
			crash = len(parts)
			crashes[truncation.Runner] = crash
			parts = append(parts, nil)
		}
		parts[crash] = append(parts[crash], truncation)
	}
	return requests, parts
}
