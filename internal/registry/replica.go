package registry

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is a replica's content as peers pass it on.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records"`
}

// Replica is this host's copy of one kind of record. It never goes back to an
// older revision: an overtaken answer, a stale peer or a replaced one would
// otherwise bring back what was already changed. It is safe for concurrent use.
type Replica struct {
	// OnChange is called after each change, outside the lock, with what changed;
	// whole says that all records were replaced.
	OnChange func(changed []Change, whole bool)

	mu       sync.Mutex
	revision uint64
	digest   uint64
	records  map[string]Record
}

// NewReplica makes an empty replica.
func NewReplica() *Replica { return &Replica{records: map[string]Record{}} }

// Revision implements Sink.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Version tells what a replica holds: two replicas with one digest hold the
// same records, also where the store's revision has moved on for other kinds.
type Version struct {
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
}

// Version gives the replica's version.
func (r *Replica) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Version{Revision: r.revision, Digest: r.digest}
}

func digestOf(record Record) uint64 {
	return xxhash.Sum64String(record.Name + "\x00" + strconv.FormatUint(record.Revision, 10))
}

// set and unset keep the digest in step with the records; the lock is held.
func (r *Replica) set(record Record) {
	r.unset(record.Name)
	r.records[record.Name] = record
	r.digest ^= digestOf(record)
}

func (r *Replica) unset(name string) {
	if record, ok := r.records[name]; ok {
		r.digest ^= digestOf(record)
		delete(r.records, name)
	}
}

// Listed implements Sink.
func (r *Replica) Listed(records []Record, revision uint64) {
	if changes, ok := r.replace(records, revision); ok {
		r.tell(changes, true)
	}
}

func (r *Replica) replace(records []Record, revision uint64) ([]Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return nil, false
	}
	listed := make(map[string]bool, len(records))
	var changes []Change
	for _, record := range records {
		listed[record.Name] = true
		if r.records[record.Name].Revision != record.Revision {
			changes = append(changes, Change{Record: record})
			r.set(record)
		}
	}
	for name, record := range r.records {
		if !listed[name] {
			changes = append(changes, Change{Record: record, Removed: true})
			r.unset(name)
		}
	}
	r.revision = revision
	return changes, true
}

// Changed implements Sink.
func (r *Replica) Changed(changes []Change, revision uint64) {
	r.mu.Lock()
	applied := changes[:0:0]
	for _, change := range changes {
		if overtaken(change, r.records[change.Name].Revision) {
			continue
		}
		if change.Removed {
			r.unset(change.Name)
		} else {
			r.set(change.Record)
		}
		applied = append(applied, change)
	}
	r.revision = max(r.revision, revision)
	r.mu.Unlock()
	r.tell(applied, false)
}

// overtaken says that a change is older than what is known. A listing may have
// brought a record that was removed and created again since the watch began.
func overtaken(change Change, known uint64) bool {
	if change.Removed {
		return change.Revision != 0 && change.Revision < known
	}
	return change.Revision <= known
}

func (r *Replica) tell(changes []Change, whole bool) {
	if r.OnChange != nil && (whole || len(changes) > 0) {
		r.OnChange(changes, whole)
	}
}

// Get gives one record.
func (r *Replica) Get(name string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[name]
	return record, ok
}

// Snapshot copies all records.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Revision: r.revision, Records: make([]Record, 0, len(r.records))}
	for _, record := range r.records {
		snapshot.Records = append(snapshot.Records, record)
	}
	return snapshot
}

// Put notes this host's own write, before the watch brings it.
func (r *Replica) Put(record Record) {
	r.mu.Lock()
	newer := record.Revision > r.records[record.Name].Revision
	if newer {
		r.set(record)
	}
	r.mu.Unlock()
	if newer {
		r.tell([]Change{{Record: record}}, false)
	}
}
