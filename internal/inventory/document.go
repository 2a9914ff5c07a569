// Package inventory models what operators configure: adapters and their
// versions, callers, plain services and rules, under one revision.
//
// Changes are atomic, revisions only grow, and snapshots are immutable.
package inventory

import (
	"regexp"
	"strings"

	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/pkg/errors"
)

// Limits of an inventory.
const (
	MaxNameLength = 128
	MinVersions   = 1
	MaxVersions   = 64
	MaxPriority   = 9
	// AnyCaller in a list of callers allows every known caller.
	AnyCaller = "*"
)

// Adapter is one fine-tuned adapter with its versions.
type Adapter struct {
	Name     string   `json:"name"`
	Base     string   `json:"base"`
	Versions []string `json:"versions"`
	// Current is the version that serves requests without a version.
	Current string `json:"current"`
	// Callers lists who may use the adapter; AnyCaller allows all.
	Callers []string `json:"callers"`
}

// Caller is a client that may send requests.
type Caller struct {
	Name string `json:"name"`
	// KeyDigest is the SHA-256 digest of the caller's bearer key in hexadecimal.
	KeyDigest string `json:"key_digest"`
	// Priority is from 0 to 9; requests with a higher one go first.
	Priority int `json:"priority"`
	// Weight is the caller's relative share among callers of the same priority; 0 counts
	// as 1.
	Weight int `json:"weight,omitempty"`
}

// Service is a plain HTTP service that requests are routed to.
type Service struct {
	Name    string   `json:"name"`
	Callers []string `json:"callers"`
}

// Rule overrides how matching requests are handled. A request matches if every
// non-empty field matches.
type Rule struct {
	Name       string `json:"name"`
	Caller     string `json:"caller,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Service    string `json:"service,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// NonIdempotent marks matching requests as unsafe to retry.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Priority replaces the caller's priority unless it is nil.
	Priority *int `json:"priority,omitempty"`
}

// Document is a complete inventory as operators write it.
type Document struct {
	Adapters []Adapter `json:"adapters"`
	Callers  []Caller  `json:"callers"`
	Services []Service `json:"services"`
	Rules    []Rule    `json:"rules"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

func checkName(kind, name string) error {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		return errors.Errorf("%s name %q: want 1 to %d characters of a-z 0-9 . _ -, beginning with a letter or digit", kind, name, MaxNameLength)
	}
	return nil
}

// Check returns an error if the adapter is invalid.
func (a Adapter) Check() error {
	if err := checkName("adapter", a.Name); err != nil {
		return err
	}
	if err := checkName("base model", a.Base); err != nil {
		return errors.Wrapf(err, "adapter %s", a.Name)
	}
	if len(a.Versions) < MinVersions || len(a.Versions) > MaxVersions {
		return errors.Errorf("adapter %s: want %d to %d versions", a.Name, MinVersions, MaxVersions)
	}
	seen := map[string]bool{}
	for _, version := range a.Versions {
		if err := checkName("version", version); err != nil {
			return errors.Wrapf(err, "adapter %s", a.Name)
		}
		if seen[version] {
			return errors.Errorf("adapter %s: version %s is listed twice", a.Name, version)
		}
		seen[version] = true
	}
	for _, caller := range a.Callers {
		if caller == AnyCaller {
			continue
		}
		if err := checkName("caller", caller); err != nil {
			return errors.Wrapf(err, "adapter %s", a.Name)
		}
	}
	if !seen[a.Current] {
		return errors.Errorf("adapter %s: current version %q is not among its versions", a.Name, a.Current)
	}
	return nil
}

// Check returns an error if the caller is invalid.
func (c Caller) Check() error {
	if err := checkName("caller", c.Name); err != nil {
		return err
	}
	if _, err := credential.Parse(c.KeyDigest); err != nil {
		return errors.Wrapf(err, "caller %s: key_digest", c.Name)
	}
	if c.Priority < 0 || c.Priority > MaxPriority {
		return errors.Errorf("caller %s: priority %d is not within 0 to %d", c.Name, c.Priority, MaxPriority)
	}
	if c.Weight < 0 {
		return errors.Errorf("caller %s: weight %d is negative", c.Name, c.Weight)
	}
	return nil
}

// digest returns the digest of the caller's key, or the zero digest if it has none that is
// valid. Check rejects such callers.
func (c Caller) digest() credential.Digest {
	digest, err := credential.Parse(c.KeyDigest)
	if err != nil {
		return credential.Digest{}
	}
	return digest
}

// Check returns an error if the service is invalid.
func (s Service) Check() error { return checkName("service", s.Name) }

// Check returns an error if the rule is invalid.
func (r Rule) Check() error {
	if err := checkName("rule", r.Name); err != nil {
		return err
	}
	if r.Priority != nil && (*r.Priority < 0 || *r.Priority > MaxPriority) {
		return errors.Errorf("rule %s: priority %d is not within 0 to %d", r.Name, *r.Priority, MaxPriority)
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		return errors.Errorf("rule %s: path_prefix %q does not begin with /", r.Name, r.PathPrefix)
	}
	if !r.NonIdempotent && r.Priority == nil {
		return errors.Errorf("rule %s: it changes nothing: give non_idempotent or priority", r.Name)
	}
	return nil
}
