package registry

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is a replica's content as peers pass it on.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records"`
	// Parts names the parts whose records these are; nil stands for all. None and
	// all must differ on the wire too: a host that lacks nothing would otherwise
	// drop all that it has.
	Parts []int `json:"parts"`
	// Since is the revision after which the records changed, where these are differences
	// and Parts is nil; Removed are the names that were removed since.
	Since   uint64   `json:"since,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Digest is that of the replica from which the differences are.
	Digest uint64 `json:"digest,omitempty"`
}

// partCount is the number of parts into which records are dealt out by their name,
// each with a digest of its own. A peer that does not know what changed since its
// revision gets the records of the parts that differ, and not the whole list.
const partCount = 64

func partOf(name string) int { return int(xxhash.Sum64String(name) % partCount) }

// Replica is this host's copy of one kind of record. It never goes back to an
// older revision: an overtaken answer, a stale peer or a replaced one would
// otherwise bring back what was already changed. It is safe for concurrent use.
type Replica struct {
	// OnChange is called after each change, outside the lock, with what changed;
	// whole says that all records were replaced.
	OnChange func(changed []Change, whole bool)
	// Strip leaves out of a record what this layer does not use; it may be nil. A
	// record that differs in nothing else has not changed: peers do not fetch it
	// from each other. What peers give is stripped already.
	//
	// Runners' entries change with each adapter that comes or goes. Taken whole, all
	// hosts would fetch from each other what none of them uses, without an end.
	Strip func(spec json.RawMessage) json.RawMessage

	mu       sync.Mutex
	revision uint64
	digest   uint64
	parts    [partCount]uint64
	records  map[string]Record
	history  history
}

// NewReplica makes an empty replica.
func NewReplica() *Replica { return &Replica{records: map[string]Record{}, history: newHistory()} }

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

// digestOf sums up what makes a record differ from another.
func (r *Replica) digestOf(record Record) uint64 {
	if r.Strip != nil {
		return xxhash.Sum64String(record.Name + "\x00" + string(record.Spec))
	}
	return xxhash.Sum64String(record.Name + "\x00" + strconv.FormatUint(record.Revision, 10))
}

// strip gives a record as it is kept.
func (r *Replica) strip(record Record) Record {
	if r.Strip != nil {
		record.Spec = r.Strip(record.Spec)
	}
	return record
}

// same says that a record is known already; the lock is held.
func (r *Replica) same(record Record) bool {
	known, ok := r.records[record.Name]
	return ok && r.digestOf(known) == r.digestOf(record)
}

// set and unset keep the digest in step with the records; the lock is held.
func (r *Replica) set(record Record) {
	if !r.same(record) {
		r.history.changed(record.Name, record.Revision)
	}
	r.unset(record.Name)
	r.records[record.Name] = record
	r.mark(record)
}

// drop takes out a record that was removed by a revision; the lock is held.
func (r *Replica) drop(name string, revision uint64) {
	r.unset(name)
	r.history.removed(name, revision)
}

// mark takes a record into the digests, or out of them.
func (r *Replica) mark(record Record) {
	digest := r.digestOf(record)
	r.digest ^= digest
	r.parts[partOf(record.Name)] ^= digest
}

func (r *Replica) unset(name string) {
	if record, ok := r.records[name]; ok {
		r.mark(record)
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
	stripped := make([]Record, len(records))
	for i, record := range records {
		stripped[i] = r.strip(record)
	}
	return r.replaceParts(stripped, revision, func(int) bool { return true }), true
}

// replaceParts replaces all records of some parts as of a revision; the lock is held.
//
// What this host has written itself may be newer than a listing that was begun before,
// or than what a peer knows. Replaced by it, the host would take its own lease or claim
// for gone, and write it a second time.
func (r *Replica) replaceParts(records []Record, revision uint64, replaced func(part int) bool) []Change {
	listed := make(map[string]bool, len(records))
	var changes []Change
	for _, record := range records {
		listed[record.Name] = true
		if r.records[record.Name].Revision > revision {
			continue
		}
		if !r.same(record) {
			changes = append(changes, Change{Record: record})
		}
		r.set(record)
	}
	for name, record := range r.records {
		if !listed[name] && replaced(partOf(name)) && record.Revision <= revision {
			changes = append(changes, Change{Record: record, Removed: true})
			r.drop(name, revision)
		}
	}
	r.history.begin(revision)
	r.revision = revision
	return changes
}

// Parts gives the digests of the parts, and the version that they belong to.
func (r *Replica) Parts() ([]uint64, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.parts[:]), Version{Revision: r.revision, Digest: r.digest}
}

// Differing gives the records of the parts that differ from a peer's, or all where
// the peer tells of none.
func (r *Replica) Differing(theirs []uint64) Snapshot {
	if len(theirs) != partCount {
		return r.Snapshot()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Revision: r.revision, Records: []Record{}, Parts: []int{}}
	for part, digest := range r.parts {
		if digest != theirs[part] {
			snapshot.Parts = append(snapshot.Parts, part)
		}
	}
	for name, record := range r.records {
		if r.parts[partOf(name)] != theirs[partOf(name)] {
			snapshot.Records = append(snapshot.Records, record)
		}
	}
	return snapshot
}

// Merge takes over what a peer gave for the digests of a version. If the replica
// has changed since, the other parts may no longer be the peer's: nothing is taken,
// and the next heartbeat tells of the difference again.
func (r *Replica) Merge(snapshot Snapshot, base Version) {
	if snapshot.Parts == nil {
		r.Listed(snapshot.Records, snapshot.Revision)
		return
	}
	if changes, ok := r.mergeParts(snapshot, base); ok {
		r.tell(changes, true)
	}
}

func (r *Replica) mergeParts(snapshot Snapshot, base Version) ([]Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.movedOn(snapshot, base) {
		return nil, false
	}
	return r.replaceParts(snapshot.Records, snapshot.Revision, func(part int) bool { return slices.Contains(snapshot.Parts, part) }), true
}

// ChangedSince gives what changed after a revision that a peer knows all of, unless this
// replica does not reach back so far.
//
// While the runners of a fleet are claimed every part of the list differs at each fetch:
// by parts alone a host fetched the whole list, whose length is that of the fleet, as often
// as anything changed.
func (r *Replica) ChangedSince(revision uint64) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == 0 || !r.history.reaches(revision) {
		return Snapshot{Revision: r.revision}, false
	}
	snapshot := Snapshot{Revision: r.revision, Since: revision, Digest: r.digest}
	for name, record := range r.records {
		if r.history.changedAt[name] > revision {
			snapshot.Records = append(snapshot.Records, record)
		}
	}
	for _, name := range r.history.removedSince(revision) {
		if _, back := r.records[name]; !back {
			snapshot.Removed = append(snapshot.Removed, name)
		}
	}
	return snapshot, true
}

// MergeSince takes over a peer's differences to a version, and says whether the replica
// holds what the peer does then. What changed back in between is not among the
// differences; the digests tell, and the parts that differ have to be fetched.
func (r *Replica) MergeSince(snapshot Snapshot, base Version) (complete bool) {
	r.mu.Lock()
	if r.movedOn(snapshot, base) {
		r.mu.Unlock()
		return true
	}
	changes := r.apply(snapshot)
	r.revision = snapshot.Revision
	complete = r.digest == snapshot.Digest || r.ahead(snapshot.Revision)
	r.mu.Unlock()
	r.tell(changes, false)
	return complete
}

// movedOn says that a peer's answer to a version comes too late: the replica has changed
// since, and what the peer left out may no longer be the same; the lock is held.
func (r *Replica) movedOn(snapshot Snapshot, base Version) bool {
	return snapshot.Revision < r.revision || base != (Version{Revision: r.revision, Digest: r.digest})
}

// apply takes differences over and gives what they changed; the lock is held.
func (r *Replica) apply(snapshot Snapshot) []Change {
	var changes []Change
	for _, record := range snapshot.Records {
		if record.Revision <= r.records[record.Name].Revision {
			continue
		}
		if !r.same(record) {
			changes = append(changes, Change{Record: record})
		}
		r.set(record)
	}
	for _, name := range snapshot.Removed {
		if record, ok := r.records[name]; ok && record.Revision <= snapshot.Revision {
			changes = append(changes, Change{Record: record, Removed: true})
			r.drop(name, snapshot.Revision)
		}
	}
	return changes
}

// ahead says that this host has written a record after a revision; the lock is held.
func (r *Replica) ahead(revision uint64) bool {
	for _, record := range r.records {
		if record.Revision > revision {
			return true
		}
	}
	return false
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
			r.drop(change.Name, max(revision, r.revision))
			applied = append(applied, change)
			continue
		}
		change.Record = r.strip(change.Record)
		if !r.same(change.Record) {
			applied = append(applied, change)
		}
		r.set(change.Record)
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
