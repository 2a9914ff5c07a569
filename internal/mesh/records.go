package mesh

import (
	"encoding/json"
	"strings"

	"github.com/cherrystage/cherrystage/internal/registry"
)

// Kind is the store's kind of this package's records. Host and owner records share it, so
// that one watch covers both.
const Kind = "cherrystage-fleet"

const (
	hostPrefix  = "host."
	ownerPrefix = "runner."
)

// HostRecord announces a host to the others and holds its lease.
type HostRecord struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	// Epoch increases each time after the lease was broken. Runners claimed under an older
	// epoch no longer belong to the host.
	Epoch int64 `json:"epoch"`
	// Renewals counts the renewals of the lease in the store.
	Renewals int64 `json:"renewals"`
	// Witnesses are the hosts whose promises keep the lease valid. A majority of them must
	// agree to break it.
	Witnesses []string `json:"witnesses,omitempty"`
	// Broken reports that other hosts broke the lease.
	Broken bool `json:"broken,omitempty"`
	// Contested reports that another host got no answer from this one for long. A host that
	// lives renews its record without it.
	Contested bool `json:"contested,omitempty"`
	// CutOff reports that the host lost its paths to runners, so that it claims none.
	CutOff bool `json:"cut_off,omitempty"`
}

// OwnerRecord names the host that gives orders to the runner at an address.
type OwnerRecord struct {
	Host  string `json:"host"`
	Epoch int64  `json:"epoch"`
}

func hostRecordName(host string) string { return hostPrefix + host }

// ownerRecordName is keyed by address, so that a runner keeps its owner when it restarts
// and no second host gives orders to it at that moment.
func ownerRecordName(address string) string {
	return ownerPrefix + strings.ReplaceAll(address, ":", "-")
}

// member is a host record with its revision in the store.
type member struct {
	HostRecord
	revision uint64
}

// owner is an owner record with its revision in the store. The revision of the claim is
// part of the owner's fencing token.
type owner struct {
	OwnerRecord
	revision uint64
}

// otherRecords returns the changes of records that are neither host nor owner records.
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

// normalizeSpec returns a record's JSON in a canonical form, because hosts compare records
// byte by byte.
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
