// Package credential identifies callers by the digests of their bearer keys. A key itself is
// only in memory while its header is parsed, so it cannot leak into a log, a metric or another
// host.
package credential

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// scheme is the authentication scheme of bearer keys (RFC 6750). Schemes are case-insensitive
// (RFC 9110).
const scheme = "Bearer"

// Digest is the SHA-256 digest of a bearer key. The zero digest stands for no key.
type Digest [sha256.Size]byte

// Of returns the digest of a key. Only digests are compared, so that the duration of a
// comparison reveals nothing about a key.
func Of(key string) Digest { return sha256.Sum256([]byte(key)) }

// Parse parses the output of String.
func Parse(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, errors.New("not a SHA-256 digest in hexadecimal")
	}
	copy(digest[:], raw)
	return digest, nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	digest, err := Parse(string(text))
	if err != nil {
		return err
	}
	*d = digest
	return nil
}

// BearerDigest parses the values of an Authorization header and returns the digest of the bearer
// key. It returns false unless there is exactly one value and it contains a bearer key.
func BearerDigest(values []string) (Digest, bool) {
	if len(values) != 1 {
		return Digest{}, false
	}
	name, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !found || key == "" || !strings.EqualFold(name, scheme) {
		return Digest{}, false
	}
	return Of(key), true
}

// Holders maps key digests to their holders. It is not safe for concurrent use while keys are
// added.
type Holders map[Digest]string

// Add records the holder of a key. It returns false and changes nothing if the key has another
// holder.
func (h Holders) Add(digest Digest, holder string) bool {
	if other, taken := h[digest]; taken && other != holder {
		return false
	}
	h[digest] = holder
	return true
}

// Holder returns the holder of a key.
func (h Holders) Holder(digest Digest) (string, bool) {
	holder, ok := h[digest]
	return holder, ok
}
