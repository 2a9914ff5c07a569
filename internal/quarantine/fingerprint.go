// Package quarantine detects requests that crash the runners that execute them, and blocks them
// from being sent to further runners.
//
// Callers retry a request whose prompt crashes an engine, since they get no response, each time
// with a new ID and through another host. Every attempt crashes one more runner and loses the
// responses to all requests on it. Requests are therefore identified by their content rather
// than their ID, and crashes are counted across all hosts.
//
// What crashes a runner may also be one part of a prompt, whatever else the request holds. Crashes
// are counted against each part that requests may share as well, and the likeliest of all these
// subjects is blocked.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"iter"
	"strconv"

	"github.com/pkg/errors"
)

// Fingerprint identifies the content of a request, regardless of the caller and the attempt.
type Fingerprint uint64

// Subject is what may be to blame for a crash: the whole content of a request, or one part of its
// prompt.
type Subject struct {
	Fingerprint
	// Depth is 0 for a whole request, and the place of a part in its prompt, from 1.
	Depth int
}

// SubjectsOf returns the subjects of a request: its content, and the parts of its prompt that other
// requests may share, in order. parts may be nil.
func SubjectsOf(content Content, parts iter.Seq[string]) []Subject {
	subjects := []Subject{{Fingerprint: content.Fingerprint()}}
	if parts == nil {
		return subjects
	}
	for part := range parts {
		subjects = append(subjects, Subject{Fingerprint: partFingerprint(part), Depth: len(subjects)})
	}
	return subjects
}

// partFingerprint returns the fingerprint of a part of a prompt, the same in all requests.
func partFingerprint(id string) Fingerprint {
	// No content begins so: its first length is that of a method.
	sum := sha256.Sum256([]byte("part of a prompt\x00" + id))
	return Fingerprint(binary.BigEndian.Uint64(sum[:]))
}

// Content is the part of a request that determines its fingerprint.
type Content struct {
	Method string
	// Authority is the host that the request is addressed to, RequestURI its path and query as
	// the caller sent them.
	Authority  string
	RequestURI string
	// Adapter is the requested adapter, empty for services without adapters.
	Adapter string
	Body    []byte
}

// Fingerprint returns the fingerprint of the content. It excludes the caller's address: the same
// request has arrived through hosts of three data centres within a second.
//
// The hash is cryptographic so that no caller can construct a request with another's
// fingerprint. A body of 2 KB takes about 2 µs.
func (c Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Authority), []byte(c.RequestURI), []byte(c.Adapter), c.Body} {
		// Length prefixes keep the boundaries between the parts unambiguous.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// String returns the fingerprint as 16 hexadecimal digits, as used in logs and records.
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
