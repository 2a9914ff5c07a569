package registry

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is the content of a replica, or a part of it, as sent to peers.
type Snapshot struct {
	Position
	Records []Record `json:"records"`
	// Parts lists the parts to which the records belong; nil stands for all. An empty list
	// and nil must differ on the wire: a host that lacks nothing would otherwise drop all
	// its records.
	Parts []int `json:"parts"`
	// Since is the revision after which the records changed, if the snapshot holds
	// differences; Parts is then nil. Removed lists the names removed since.
	Since   uint64   `json:"since,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Digest is the digest of the replica from which the differences were taken.
	Digest uint64 `json:"digest,omitempty"`
}

// partCount is the number of parts into which records are divided by a hash of their name,
// each with its own digest. A peer without a usable revision fetches the parts that differ
// instead of the whole list.
const partCount = 64

func partOf(name string) int { return int(xxhash.Sum64String(name) % partCount) }

// Replica is this host's copy of one kind of record. It never goes back to an earlier
// position of the store, as a late answer or an outdated peer would otherwise undo
// changes. All its records belong to one era, and a later era replaces all of them,
// whatever their revisions. It is safe for concurrent use.
type Replica struct {
	// OnChange is called after each change, without the lock and in the order of the
	// changes, with the changed records. whole reports that the change was a listing or
	// replaced whole parts; changed may then be empty. It must not modify the replica.
	OnChange func(changed []Change, whole bool)
	// OnEra is called before OnChange when the replica moves to another era. It may be
	// nil.
	OnEra func(era Era)
	// OnPosition is called after OnChange when the replica's position has changed, also if
	// no record has. It may be nil.
	OnPosition func(at Position)
	// Strip removes what this layer does not use from a record and brings it into a
	// canonical form. It may be nil. A record that differs only in the removed fields
	// counts as unchanged, and peers do not fetch it. Records from peers are already
	// stripped.
	//
	// Runner records change with each adapter that is loaded or unloaded. Without Strip
	// all hosts would keep fetching from each other what none of them uses.
	Strip func(spec json.RawMessage) json.RawMessage

	// digestRevisions makes a record's revision part of its digest, so that records of
	// equal content and different revisions differ.
	digestRevisions bool

	// notifyMu serializes calls of OnEra, OnChange and OnPosition. It is acquired before mu.
	notifyMu sync.Mutex
	mu       sync.Mutex
	position Position
	// populated is set after the first listing, stale or not.
	populated bool
	digest    uint64
	parts     [partCount]uint64
	records   map[string]Record
	history   history
}

// NewReplica returns an empty replica of records whose revisions matter.
func NewReplica() *Replica {
	return &Replica{digestRevisions: true, records: map[string]Record{}, history: newHistory()}
}

// NewContentReplica returns an empty replica of records that are equal if their content
// is, whatever their revisions.
func NewContentReplica(strip func(spec json.RawMessage) json.RawMessage) *Replica {
	return &Replica{Strip: strip, records: map[string]Record{}, history: newHistory()}
}

// Position implements Sink.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Revision returns the revision of the replica's position, 0 before the store has
// confirmed one.
func (r *Replica) Revision() uint64 { return r.Position().Revision }

// Version identifies the content of a replica. Replicas with the same digest hold the same
// records, even if their positions differ because of changes of other kinds or another
// era.
type Version struct {
	Position
	Digest uint64 `json:"digest"`
}

// Version returns the replica's version.
func (r *Replica) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version()
}

// version is Version for callers that hold r.mu.
func (r *Replica) version() Version { return Version{Position: r.position, Digest: r.digest} }

// recordDigest returns a hash of a record's content. A hash of its revision alone would
// confuse a record that the store has lost with a later one that got the same revision.
func (r *Replica) recordDigest(record Record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(record.Name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(record.Spec)
	if r.digestRevisions {
		var revision [8]byte
		binary.LittleEndian.PutUint64(revision[:], record.Revision)
		_, _ = digest.Write(revision[:])
	}
	return digest.Sum64()
}

// strip returns the record as it is stored.
func (r *Replica) strip(record Record) Record {
	if r.Strip != nil {
		record.Spec = r.Strip(record.Spec)
	}
	return record
}

// isKnown reports whether the replica holds an equal record. The caller holds r.mu.
func (r *Replica) isKnown(record Record) bool {
	known, ok := r.records[record.Name]
	return ok && r.recordDigest(known) == r.recordDigest(record)
}

// set adds or replaces a record and updates the digests. The caller holds r.mu.
func (r *Replica) set(record Record) {
	if !r.isKnown(record) {
		r.history.noteChange(record.Name, record.Revision)
	}
	r.unset(record.Name)
	r.records[record.Name] = record
	r.toggleDigest(record)
}

// remove drops a record that was removed by a revision. The caller holds r.mu.
func (r *Replica) remove(name string, revision uint64) {
	r.unset(name)
	r.history.noteRemoval(name, revision)
}

// toggleDigest adds a record to the digests, or removes it from them.
func (r *Replica) toggleDigest(record Record) {
	digest := r.recordDigest(record)
	r.digest ^= digest
	r.parts[partOf(record.Name)] ^= digest
}

// unset drops a record and updates the digests. The caller holds r.mu.
func (r *Replica) unset(name string) {
	if record, ok := r.records[name]; ok {
		r.toggleDigest(record)
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
		if at.Before(r.position) {
			// The replica is newer than a listing of the same era.
			return nil, false, at.Era == r.position.Era
		}
		return r.replaceParts(stripped, at, allParts), true, true
	})
}

// ListedStale implements Sink. It has no effect once the store has confirmed a position.
func (r *Replica) ListedStale(records []Record) {
	r.update(func() ([]Change, bool, bool) {
		if r.position.Revision > 0 {
			return nil, false, false
		}
		var changes []Change
		for _, record := range records {
			record = r.strip(record)
			r.set(record)
			changes = append(changes, Change{Record: record})
		}
		r.populated = true
		return changes, true, true
	})
}

// update runs a change and calls OnEra, OnChange and OnPosition. The change returns the
// changed records, whether whole parts were replaced, and the result of update.
func (r *Replica) update(change func() (changes []Change, whole, ok bool)) bool {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	before := r.position
	changes, whole, ok := change()
	now := r.position
	r.mu.Unlock()
	if now.Era != before.Era && r.OnEra != nil {
		r.OnEra(now.Era)
	}
	if r.OnChange != nil && (whole || len(changes) > 0) {
		r.OnChange(changes, whole)
	}
	if now != before && r.OnPosition != nil {
		r.OnPosition(now)
	}
	return ok
}

func allParts(int) bool { return true }

// replaceParts replaces all records of some parts as of a position. The caller holds r.mu.
//
// Records that this host wrote itself may be newer than a listing begun before, or than
// those of a peer. If they were replaced, the host would take its own lease or claim for
// lost and write it again. Records written in an earlier era are replaced.
func (r *Replica) replaceParts(records []Record, at Position, replaced func(part int) bool) []Change {
	listed := make(map[string]bool, len(records))
	var changes []Change
	for _, record := range records {
		listed[record.Name] = true
		if r.writtenAfter(r.records[record.Name], at) {
			continue
		}
		if !r.isKnown(record) {
			changes = append(changes, Change{Record: record})
		}
		r.set(record)
	}
	for name, record := range r.records {
		if !listed[name] && replaced(partOf(name)) && !r.writtenAfter(record, at) {
			changes = append(changes, Change{Record: record, Removed: true})
			r.remove(name, at.Revision)
		}
	}
	r.setPosition(at)
	return changes
}

// writtenAfter reports whether a record was written after a position. It returns false if
// that is unknown, for a record from a stale copy or another era. The caller holds r.mu.
func (r *Replica) writtenAfter(record Record, at Position) bool {
	return r.position.Revision > 0 && r.position.Era == at.Era && record.Revision > at.Revision
}

// setPosition records that the replica is complete up to a position. The caller holds
// r.mu.
func (r *Replica) setPosition(at Position) {
	if at.Era != r.position.Era || r.position.Revision == 0 {
		r.beginEra(at)
	}
	r.history.begin(at.Revision)
	r.position, r.populated = at, true
}

// beginEra drops what depends on revisions of another era. The caller holds r.mu. Records
// that remain existed at the new position, so their revisions are reduced to it: with its
// former revision a record would seem newer than the next change to it.
//
// Where revisions matter, either the records equal those of a peer, revisions included, or
// the caller has replaced them. Those that the peer has written after its position are
// changes after it, which other hosts may lack.
func (r *Replica) beginEra(at Position) {
	r.history = newHistory()
	for name, record := range r.records {
		switch {
		case !r.digestRevisions:
			record.Revision = min(record.Revision, at.Revision)
			r.records[name] = record
		case record.Revision > at.Revision:
			r.history.noteChange(name, record.Revision)
		}
	}
}

// AdoptPosition takes over the position of a peer that holds the same records, if it
// belongs to another era or the replica has none. Otherwise all hosts would fetch all
// records when the era changes.
func (r *Replica) AdoptPosition(theirs Version) bool {
	return r.update(func() ([]Change, bool, bool) {
		needed := theirs.Era != r.position.Era || r.position.Revision == 0
		if !r.populated || !needed || r.digest != theirs.Digest || !r.position.Before(theirs.Position) {
			return nil, false, false
		}
		r.setPosition(theirs.Position)
		return nil, false, true
	})
}

// Parts returns the digests of the parts and the version to which they belong.
func (r *Replica) Parts() ([]uint64, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.parts[:]), r.version()
}

// DifferingParts returns the records of the parts that differ from a peer's digests, or
// all records if theirs does not hold a digest for each part.
func (r *Replica) DifferingParts(theirs []uint64) Snapshot {
	if len(theirs) != partCount {
		return r.Snapshot()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Position: r.position, Records: []Record{}, Parts: []int{}}
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

// MergeParts applies the parts that a peer sent for the digests of version base. If the
// replica has changed since, the other parts may no longer equal the peer's: nothing is
// applied, and the next heartbeat shows the difference again.
func (r *Replica) MergeParts(snapshot Snapshot, base Version) {
	if snapshot.Parts == nil {
		r.Listed(snapshot.Records, snapshot.Position)
		return
	}
	r.update(func() ([]Change, bool, bool) {
		if r.isOutdated(snapshot, base) {
			return nil, false, false
		}
		return r.replaceParts(snapshot.Records, snapshot.Position, func(part int) bool { return slices.Contains(snapshot.Parts, part) }), true, true
	})
}

// ChangedSince returns the changes after a position up to which a peer is complete. It
// returns false if the history does not reach back that far or the position belongs to
// another era.
//
// While the runners of a fleet are claimed, every part differs at each fetch. With parts
// alone a host fetched the whole list, which grows with the fleet, at each change.
func (r *Replica) ChangedSince(since Position) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since.Revision == 0 || since.Era != r.position.Era || !r.history.covers(since.Revision) {
		return Snapshot{Position: r.position}, false
	}
	snapshot := Snapshot{Position: r.position, Since: since.Revision, Digest: r.digest}
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

// MergeChanges applies a peer's changes since version base, and reports whether the
// replica then holds the peer's records. A record that was changed and changed back in
// between is not among the changes; the digests then differ, and the caller must fetch the
// parts that differ.
func (r *Replica) MergeChanges(snapshot Snapshot, base Version) (complete bool) {
	return r.update(func() ([]Change, bool, bool) {
		if r.isOutdated(snapshot, base) {
			return nil, false, true
		}
		if snapshot.Era != r.position.Era {
			return nil, false, false
		}
		changes := r.applySnapshot(snapshot)
		if r.digest != snapshot.Digest && !r.hasRecordAfter(snapshot.Revision) {
			return changes, false, false
		}
		r.setPosition(snapshot.Position)
		return changes, false, true
	})
}

// isOutdated reports whether the replica has changed since a peer was asked with version
// base. What the peer left out may then no longer be equal. The caller holds r.mu.
func (r *Replica) isOutdated(snapshot Snapshot, base Version) bool {
	return snapshot.Before(r.position) || base != r.version()
}

// applySnapshot applies a peer's changes and returns those that took effect. The caller
// holds r.mu.
func (r *Replica) applySnapshot(snapshot Snapshot) []Change {
	var changes []Change
	for _, record := range snapshot.Records {
		if record.Revision <= r.records[record.Name].Revision {
			continue
		}
		if !r.isKnown(record) {
			changes = append(changes, Change{Record: record})
		}
		r.set(record)
	}
	for _, name := range snapshot.Removed {
		record, known := r.records[name]
		if known && record.Revision > snapshot.Revision {
			continue
		}
		if known {
			changes = append(changes, Change{Record: record, Removed: true})
		}
		// Noted even if the record is not known: a host that still has it asks for the
		// changes after an earlier position than this replica dropped it at.
		r.remove(name, snapshot.Revision)
	}
	return changes
}

// hasRecordAfter reports whether this host has written a record after a revision. The
// caller holds r.mu.
func (r *Replica) hasRecordAfter(revision uint64) bool {
	for _, record := range r.records {
		if record.Revision > revision {
			return true
		}
	}
	return false
}

// Changed implements Sink. Changes of another era than the replica's are ignored.
func (r *Replica) Changed(changes []Change, at Position) {
	r.update(func() ([]Change, bool, bool) {
		if at.Era != r.position.Era {
			return nil, false, false
		}
		var applied []Change
		for _, change := range changes {
			if isSuperseded(change, r.records[change.Name].Revision) {
				continue
			}
			applied = append(applied, r.applyChange(change, at)...)
		}
		r.position.Revision = max(r.position.Revision, at.Revision)
		return applied, false, true
	})
}

// applyChange applies a change and returns it if it took effect. The caller holds r.mu.
func (r *Replica) applyChange(change Change, at Position) []Change {
	if change.Removed {
		r.remove(change.Name, max(at.Revision, r.position.Revision))
		return []Change{change}
	}
	change.Record = r.strip(change.Record)
	known := r.isKnown(change.Record)
	r.set(change.Record)
	if known {
		return nil
	}
	return []Change{change}
}

// isSuperseded reports whether a change is older than the known record. A listing may have
// brought a record that was removed and created again since the watch began.
func isSuperseded(change Change, known uint64) bool {
	if change.Removed {
		return change.Revision != 0 && change.Revision < known
	}
	return change.Revision <= known
}

// Get returns a record and whether it exists.
func (r *Replica) Get(name string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[name]
	return record, ok
}

// Snapshot returns a copy of all records.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Position: r.position, Records: make([]Record, 0, len(r.records))}
	for _, record := range r.records {
		snapshot.Records = append(snapshot.Records, record)
	}
	return snapshot
}

// Put applies a record from the store's answer to a write or a read, before the watch
// delivers it. It reports whether the answer belongs to the replica's era. A write of an
// earlier era may be lost, and of a later era the replica has no records yet.
func (r *Replica) Put(record Record) bool {
	return r.update(func() ([]Change, bool, bool) {
		if record.Era != r.position.Era {
			return nil, false, false
		}
		known, ok := r.records[record.Name]
		if record.Revision <= known.Revision || !ok && record.Revision <= r.position.Revision {
			// The replica is newer than the answer, or complete up to it: the record was
			// removed since.
			return nil, false, true
		}
		record = r.strip(record)
		r.set(record)
		return []Change{{Record: record}}, false, true
	})
}

// Drop removes a record that was known before a read, because the store, in the given era,
// had none of that name. A record of another revision is kept: it may be newer than the read.
func (r *Replica) Drop(known Record, era Era) {
	r.update(func() ([]Change, bool, bool) {
		record, ok := r.records[known.Name]
		if !ok || record.Revision != known.Revision || era != r.position.Era {
			return nil, false, false
		}
		r.remove(known.Name, r.position.Revision)
		return []Change{{Record: Record{Name: known.Name}, Removed: true}}, false, true
	})
}
