package registry

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is a replica's content as peers pass it on.
type Snapshot struct {
	Position
	Records []Record `json:"records"`
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
// earlier position of the store: an overtaken answer, a stale peer or a replaced one
// would otherwise bring back what was already changed. All its records are of one era;
// a later one replaces all of them, whatever their revisions. It is safe for concurrent
// use.
type Replica struct {
	// OnChange is called after each change, outside the lock and in the order of the
	// changes, with what changed; whole says that all records were replaced. It must not
	// change the replica.
	OnChange func(changed []Change, whole bool)
	// OnEra is called before OnChange when the replica moves to another era; it may be nil.
	OnEra func(era Era)
	// Strip leaves out of a record what this layer does not use, and brings it into one
	// form; it may be nil. A record that differs in nothing else has not changed: peers do
	// not fetch it from each other. What peers give is stripped already.
	//
	// Runners' entries change with each adapter that comes or goes. Taken whole, all
	// hosts would fetch from each other what none of them uses, without an end.
	Strip func(spec json.RawMessage) json.RawMessage

	// byRevision says that a record's revision is part of what it says: two of one content
	// differ if it does.
	byRevision bool

	// telling orders calls of OnEra and OnChange. It is taken before mu.
	telling sync.Mutex
	mu      sync.Mutex
	at      Position
	// fed says that there was a listing or a copy of one.
	fed     bool
	digest  uint64
	parts   [partCount]uint64
	records map[string]Record
	history history
}

// NewReplica makes an empty replica of records whose revisions matter.
func NewReplica() *Replica {
	return &Replica{byRevision: true, records: map[string]Record{}, history: newHistory()}
}

// NewContentReplica makes an empty replica of records that say the same whatever their
// revisions.
func NewContentReplica(strip func(spec json.RawMessage) json.RawMessage) *Replica {
	return &Replica{Strip: strip, records: map[string]Record{}, history: newHistory()}
}

// Position implements Sink.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// Revision gives the revision of the replica's position, 0 before the store's own word.
func (r *Replica) Revision() uint64 { return r.Position().Revision }

// Version tells what a replica holds: two replicas with one digest hold the
// same records, also where the store's revision has moved on for other kinds, or in
// another era.
type Version struct {
	Position
	Digest uint64 `json:"digest"`
}

// Version gives the replica's version.
func (r *Replica) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version()
}

// version is Version; the lock is held.
func (r *Replica) version() Version { return Version{Position: r.at, Digest: r.digest} }

// digestOf sums up what makes a record differ from another. It is a sum of its content:
// one of its revision alone would take a record that the store has lost for the one that
// was given its revision since.
func (r *Replica) digestOf(record Record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(record.Name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(record.Spec)
	if r.byRevision {
		var revision [8]byte
		binary.LittleEndian.PutUint64(revision[:], record.Revision)
		_, _ = digest.Write(revision[:])
	}
	return digest.Sum64()
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
func (r *Replica) Listed(records []Record, at Position) bool {
	stripped := make([]Record, len(records))
	for i, record := range records {
		stripped[i] = r.strip(record)
	}
	return r.update(func() ([]Change, bool, bool) {
		if at.Before(r.at) {
			// What is known is newer than a listing of the same era.
			return nil, false, at.Era == r.at.Era
		}
		return r.replaceParts(stripped, at, allParts), true, true
	})
}

// ListedStale implements Sink. A copy counts for nothing beside the store's own word.
func (r *Replica) ListedStale(records []Record) {
	r.update(func() ([]Change, bool, bool) {
		if r.at.Revision > 0 {
			return nil, false, false
		}
		var changes []Change
		for _, record := range records {
			record = r.strip(record)
			r.set(record)
			changes = append(changes, Change{Record: record})
		}
		r.fed = true
		return changes, true, true
	})
}

// update makes a change and tells of it. The change gives what it changed, whether whole
// parts were replaced, and what update returns.
func (r *Replica) update(change func() (changes []Change, whole, ok bool)) bool {
	r.telling.Lock()
	defer r.telling.Unlock()
	r.mu.Lock()
	before := r.at.Era
	changes, whole, ok := change()
	now := r.at.Era
	r.mu.Unlock()
	if now != before && r.OnEra != nil {
		r.OnEra(now)
	}
	if r.OnChange != nil && (whole || len(changes) > 0) {
		r.OnChange(changes, whole)
	}
	return ok
}

func allParts(int) bool { return true }

// replaceParts replaces all records of some parts as of a position; the lock is held.
//
// What this host has written itself may be newer than a listing that was begun before,
// or than what a peer knows. Replaced by it, the host would take its own lease or claim
// for gone, and write it a second time. What it wrote in an earlier era is gone.
func (r *Replica) replaceParts(records []Record, at Position, replaced func(part int) bool) []Change {
	listed := make(map[string]bool, len(records))
	var changes []Change
	for _, record := range records {
		listed[record.Name] = true
		if r.newer(r.records[record.Name], at) {
			continue
		}
		if !r.same(record) {
			changes = append(changes, Change{Record: record})
		}
		r.set(record)
	}
	for name, record := range r.records {
		if !listed[name] && replaced(partOf(name)) && !r.newer(record, at) {
			changes = append(changes, Change{Record: record, Removed: true})
			r.drop(name, at.Revision)
		}
	}
	r.moveTo(at)
	return changes
}

// newer says that a record was written after a position; the lock is held. Of one that comes
// from a copy, or was written in another era, this is not known.
func (r *Replica) newer(record Record, at Position) bool {
	return r.at.Revision > 0 && r.at.Era == at.Era && record.Revision > at.Revision
}

// moveTo notes that the replica holds all that the store does at a position; the lock is held.
func (r *Replica) moveTo(at Position) {
	if at.Era != r.at.Era || r.at.Revision == 0 {
		r.beginEra(at)
	}
	r.history.begin(at.Revision)
	r.at, r.fed = at, true
}

// beginEra forgets what revisions of another era said; the lock is held. What stays has been
// there by the position at the latest: kept at its former revision, a record would count as
// newer than the next change to it.
func (r *Replica) beginEra(at Position) {
	r.history = newHistory()
	if r.byRevision {
		// These are compared with a peer's, revisions included, or replaced.
		return
	}
	for name, record := range r.records {
		record.Revision = min(record.Revision, at.Revision)
		r.records[name] = record
	}
}

// AdoptPosition takes over the position of a peer that holds the same records, if the store's own
// word or its era is news. All hosts would otherwise fetch all records when the era changes.
func (r *Replica) AdoptPosition(theirs Version) bool {
	return r.update(func() ([]Change, bool, bool) {
		news := theirs.Era != r.at.Era || r.at.Revision == 0
		if !r.fed || !news || r.digest != theirs.Digest || !r.at.Before(theirs.Position) {
			return nil, false, false
		}
		r.moveTo(theirs.Position)
		return nil, false, true
	})
}

// Parts gives the digests of the parts, and the version that they belong to.
func (r *Replica) Parts() ([]uint64, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.parts[:]), r.version()
}

// DifferingParts gives the records of the parts that differ from a peer's, or all where
// the peer tells of none.
func (r *Replica) DifferingParts(theirs []uint64) Snapshot {
	if len(theirs) != partCount {
		return r.Snapshot()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Position: r.at, Records: []Record{}, Parts: []int{}}
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

// MergeParts takes over what a peer gave for the digests of a version. If the replica
// has changed since, the other parts may no longer be the peer's: nothing is taken,
// and the next heartbeat tells of the difference again.
func (r *Replica) MergeParts(snapshot Snapshot, base Version) {
	if snapshot.Parts == nil {
		r.Listed(snapshot.Records, snapshot.Position)
		return
	}
	r.update(func() ([]Change, bool, bool) {
		if r.movedOn(snapshot, base) {
			return nil, false, false
		}
		return r.replaceParts(snapshot.Records, snapshot.Position, func(part int) bool { return slices.Contains(snapshot.Parts, part) }), true, true
	})
}

// ChangedSince gives what changed after a position that a peer knows all of, unless this
// replica does not reach back so far, or is of another era.
//
// While the runners of a fleet are claimed every part of the list differs at each fetch:
// by parts alone a host fetched the whole list, whose length is that of the fleet, as often
// as anything changed.
func (r *Replica) ChangedSince(since Position) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since.Revision == 0 || since.Era != r.at.Era || !r.history.reaches(since.Revision) {
		return Snapshot{Position: r.at}, false
	}
	snapshot := Snapshot{Position: r.at, Since: since.Revision, Digest: r.digest}
	for name, record := range r.records {
		if r.history.changedAt[name] > since.Revision {
			snapshot.Records = append(snapshot.Records, record)
		}
	}
	for _, name := range r.history.removedSince(since.Revision) {
		if _, back := r.records[name]; !back {
			snapshot.Removed = append(snapshot.Removed, name)
		}
	}
	return snapshot, true
}

// MergeChanges takes over a peer's differences to a version, and says whether the replica
// holds what the peer does then. What changed back in between is not among the
// differences; the digests tell, and the parts that differ have to be fetched.
func (r *Replica) MergeChanges(snapshot Snapshot, base Version) (complete bool) {
	return r.update(func() ([]Change, bool, bool) {
		if r.movedOn(snapshot, base) {
			return nil, false, true
		}
		if snapshot.Era != r.at.Era {
			return nil, false, false
		}
		changes := r.apply(snapshot)
		r.moveTo(snapshot.Position)
		return changes, false, r.digest == snapshot.Digest || r.ahead(snapshot.Revision)
	})
}

// movedOn says that a peer's answer to a version comes too late: the replica has changed
// since, and what the peer left out may no longer be the same; the lock is held.
func (r *Replica) movedOn(snapshot Snapshot, base Version) bool {
	return snapshot.Before(r.at) || base != r.version()
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

// Changed implements Sink. Changes of another era than the replica's say nothing about what
// it holds.
func (r *Replica) Changed(changes []Change, at Position) {
	r.update(func() ([]Change, bool, bool) {
		if at.Era != r.at.Era {
			return nil, false, false
		}
		var applied []Change
		for _, change := range changes {
			if overtaken(change, r.records[change.Name].Revision) {
				continue
			}
			applied = append(applied, r.change(change, at)...)
		}
		r.at.Revision = max(r.at.Revision, at.Revision)
		return applied, false, true
	})
}

// change applies one change and gives it if it changed something; the lock is held.
func (r *Replica) change(change Change, at Position) []Change {
	if change.Removed {
		r.drop(change.Name, max(at.Revision, r.at.Revision))
		return []Change{change}
	}
	change.Record = r.strip(change.Record)
	known := r.same(change.Record)
	r.set(change.Record)
	if known {
		return nil
	}
	return []Change{change}
}

// overtaken says that a change is older than what is known. A listing may have
// brought a record that was removed and created again since the watch began.
func overtaken(change Change, known uint64) bool {
	if change.Removed {
		return change.Revision != 0 && change.Revision < known
	}
	return change.Revision <= known
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
	snapshot := Snapshot{Position: r.at, Records: make([]Record, 0, len(r.records))}
	for _, record := range r.records {
		snapshot.Records = append(snapshot.Records, record)
	}
	return snapshot
}

// Put notes a record that the store has just answered a write or a read of with, before the
// watch brings it. It says whether the answer is of the replica's era: what was written in an
// earlier one may be lost, and of a later one the replica knows nothing yet.
func (r *Replica) Put(record Record) bool {
	return r.update(func() ([]Change, bool, bool) {
		if record.Era != r.at.Era {
			return nil, false, false
		}
		if record.Revision <= r.records[record.Name].Revision {
			return nil, false, true
		}
		record = r.strip(record)
		r.set(record)
		return []Change{{Record: record}}, false, true
	})
}

// Drop notes that the store had no record of a name when it answered in an era.
func (r *Replica) Drop(name string, era Era) {
	r.update(func() ([]Change, bool, bool) {
		if _, known := r.records[name]; !known || era != r.at.Era {
			return nil, false, false
		}
		r.drop(name, r.at.Revision)
		return []Change{{Record: Record{Name: name}, Removed: true}}, false, true
	})
}
