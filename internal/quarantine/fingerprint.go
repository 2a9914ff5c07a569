// Package quarantine finds requests that end the runners that begin them, and keeps
// them away from further runners.
//
// A request whose prompt makes an engine fail comes again, since its caller got no
// answer, each time with a new ID and through another host. Each time it ends one more
// runner, and with it the answers of all requests beside it. So what counts is not the ID
// but the content, and not what one host saw but what all did.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Fingerprint names what a request asks for, whoever asks and however often.
type Fingerprint uint64

// Content is what makes two requests the same.
type Content struct {
	Method string
	// Authority and Target are the request's host, and its path and query as the caller sent
	// them.
	Authority  string
	RequestURI string
	// Adapter is the adapter that the request asks for, empty for services without.
	Adapter string
	Body    []byte
}

// Fingerprint gives the content's fingerprint. The caller's address is left out: the same
// request has come through the hosts of three data centres within a second.
//
// It is a cryptographic hash, so that no caller can make a request that is taken for
// another's; 2 KB of body take some 2 µs.
func (c Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Authority), []byte(c.RequestURI), []byte(c.Adapter), c.Body} {
		// With its length before it, no part runs into the next.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// String gives the fingerprint as it stands in logs and records: 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return errors.Errorf("fingerprint %q is not a hexadecimal number of 64 bits", text)
	}
	*f = Fingerprint(value)
	return nil
}
