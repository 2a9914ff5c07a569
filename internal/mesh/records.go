package mesh

import (
	"encoding/json"
	"strings"

	"github.com/cherrystage/cherrystage/internal/registry"
)

// Kind is the kind of this package's records in the store. Hosts and owners
// share a kind, so that one watch tells of both.
const Kind = "cherrystage-fleet"

const (
	hostPrefix  = "host."
	ownerPrefix = "runner."
)

// HostRecord makes a host known to the others, and is its lease.
type HostRecord struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	// Epoch grows whenever the lease was broken. What the host owned under an
	// older epoch is no longer its own.
	Epoch int64 `json:"epoch"`
	// Renewals grows with each renewal in the store.
	Renewals int64 `json:"renewals"`
	// Witnesses are the hosts whose promises keep the lease, and of which a
	// majority must agree to break it.
	Witnesses []string `json:"witnesses,omitempty"`
	// Broken says that peers ended the lease.
	Broken bool `json:"broken,omitempty"`
}

// OwnerRecord says which host gives orders to the runner at an address.
type OwnerRecord struct {
	Host  string `json:"host"`
	Epoch int64  `json:"epoch"`
}

func hostRecordName(host string) string { return hostPrefix + host }

// ownerRecordName is keyed by address: a runner that restarts keeps its owner, so
// that no second host gives orders to the same runner at that moment.
func ownerRecordName(address string) string {
	return ownerPrefix + strings.ReplaceAll(address, ":", "-")
}

// member is a host record with its place in the store.
type member struct {
	HostRecord
	revision uint64
}

// owner is an owner record with its place in the store; the revision at which
// it was claimed is the owner's fencing token.
type owner struct {
	OwnerRecord
	revision uint64
}

// otherRecords gives the changes of records that are neither a host's nor an owner's.
func otherRecords(changes []registry.Change) []registry.Change {
	var other []registry.Change
	for _, change := range changes {
		if !strings.HasPrefix(change.Name, hostPrefix) && !strings.HasPrefix(change.Name, ownerPrefix) {
			other = append(other, change)
		}
	}
	return other
}

func decodeEra(record registry.Record) (EraRecord, bool) {
	if record.Name != eraRecordName {
		return EraRecord{}, false
	}
	var era EraRecord
	err := json.Unmarshal(record.Spec, &era)
	return era, err == nil
}

// normalizeSpec brings a record of this kind into one form, whoever wrote it: hosts compare records
// by their bytes.
func normalizeSpec(spec json.RawMessage) json.RawMessage {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(spec, &fields); err != nil {
		return spec
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return spec
	}
	return encoded
}

func decodeHost(record registry.Record) (string, member, bool) {
	name, ok := strings.CutPrefix(record.Name, hostPrefix)
	if !ok {
		return "", member{}, false
	}
	m := member{revision: record.Revision}
	if err := json.Unmarshal(record.Spec, &m.HostRecord); err != nil {
		return "", member{}, false
	}
	return name, m, true
}

func decodeOwner(record registry.Record) (string, owner, bool) {
	if !strings.HasPrefix(record.Name, ownerPrefix) {
		return "", owner{}, false
	}
	o := owner{revision: record.Revision}
	if err := json.Unmarshal(record.Spec, &o.OwnerRecord); err != nil {
		return "", owner{}, false
	}
	return record.Name, o, true
}
