// Package credential knows callers by the digests of their bearer keys. A key
// itself is held only while its header is read, so none can reach a log, a
// metric or another host.
package credential

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// scheme is the authentication scheme of bearer keys (RFC 6750). Schemes are
// compared without regard to case (RFC 9110).
const scheme = "Bearer"

// Digest is the SHA-256 digest of a bearer key. The zero digest is that of no key.
type Digest [sha256.Size]byte

// Of gives the digest of a key. Keys are compared by their digests only: how long
// a comparison takes then tells nothing of a key.
func Of(key string) Digest { return sha256.Sum256([]byte(key)) }

// Parse reads what String gives.
func Parse(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, errors.New("not a SHA-256 digest in hexadecimal")
	}
	copy(digest[:], raw)
	return digest, nil
}

// String gives the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText and UnmarshalText are String and Parse for encoders.
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

// BearerDigest reads the key of an Authorization header and gives its digest. A header
// that is missing, stands twice or names no bearer key has none.
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

// Holders tells who holds a key. It is not safe for concurrent use while it is
// being filled.
type Holders map[Digest]string

// Add notes a holder of a key. It returns false, and changes nothing, where
// somebody else holds the key already.
func (h Holders) Add(digest Digest, holder string) bool {
	if other, taken := h[digest]; taken && other != holder {
		return false
	}
	h[digest] = holder
	return true
}

// Holder gives who holds a key.
func (h Holders) Holder(digest Digest) (string, bool) {
	holder, ok := h[digest]
	return holder, ok
}
