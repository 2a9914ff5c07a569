package inventory

import (
	"maps"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/pkg/errors"
)

// Revision is the number of accepted changes. It only grows.
type Revision uint64

// shardCount is the number of shards of the adapter table. A change copies only
// the shards it modifies, each about a hundred records at the largest inventory.
const shardCount = 1024

// record is an adapter as a snapshot stores it. All but the name is interned,
// since many adapters share it: 140,000 adapters must fit into 16 MB.
type record struct {
	name    string
	profile *profile
}

// Snapshot is the inventory at one revision. It is immutable, so readers need
// no lock.
type Snapshot struct {
	revision Revision
	shards   [shardCount][]record
	count    int
	callers  map[string]Caller
	byDigest credential.Holders
	services map[string]Service
	rules    []Rule
	profiles *interner
}

// Empty returns the snapshot of revision zero.
func Empty() *Snapshot {
	return &Snapshot{
		callers:  map[string]Caller{},
		byDigest: credential.Holders{},
		services: map[string]Service{},
		profiles: &interner{profiles: map[string]*profile{}},
	}
}

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() Revision { return s.revision }

// Len returns the number of adapters.
func (s *Snapshot) Len() int { return s.count }

// Apply returns the snapshot after the ops. If any op is invalid it returns an
// error, and none of them takes effect.
func (s *Snapshot) Apply(revision Revision, ops []Op) (*Snapshot, error) {
	if revision <= s.revision {
		return nil, errors.Errorf("revision %d is not after revision %d", revision, s.revision)
	}
	next := s.clone(revision)
	copied := map[int]bool{}
	for _, op := range ops {
		if err := op.Check(); err != nil {
			return nil, err
		}
		if err := next.applyOp(op, copied); err != nil {
			return nil, err
		}
	}
	return next, next.checkUniqueKeys()
}

func (s *Snapshot) clone(revision Revision) *Snapshot {
	next := *s
	next.revision = revision
	next.callers = copyMap(s.callers)
	next.byDigest = maps.Clone(s.byDigest)
	next.services = copyMap(s.services)
	next.rules = append([]Rule(nil), s.rules...)
	return &next
}

func copyMap[V any](from map[string]V) map[string]V {
	to := make(map[string]V, len(from))
	for key, value := range from {
		to[key] = value
	}
	return to
}

// applyOp applies an op to a snapshot that is not shared yet. The set copied contains the
// shards that have been copied since the clone and may be modified.
func (s *Snapshot) applyOp(op Op, copied map[int]bool) error {
	switch {
	case op.PutAdapter != nil:
		s.putAdapter(*op.PutAdapter, copied)
	case op.DeleteAdapter != "":
		return s.deleteAdapter(op.DeleteAdapter, copied)
	case op.PutCaller != nil:
		s.removeDigest(op.PutCaller.Name)
		s.callers[op.PutCaller.Name] = *op.PutCaller
		s.byDigest[op.PutCaller.digest()] = op.PutCaller.Name
	case op.DeleteCaller != "":
		if _, ok := s.callers[op.DeleteCaller]; !ok {
			return errors.Errorf("no caller %q", op.DeleteCaller)
		}
		s.removeDigest(op.DeleteCaller)
		delete(s.callers, op.DeleteCaller)
	case op.PutService != nil:
		s.services[op.PutService.Name] = *op.PutService
	case op.DeleteService != "":
		if _, ok := s.services[op.DeleteService]; !ok {
			return errors.Errorf("no service %q", op.DeleteService)
		}
		delete(s.services, op.DeleteService)
	case op.PutRule != nil:
		s.putRule(*op.PutRule)
	case op.DeleteRule != "":
		return s.deleteRule(op.DeleteRule)
	}
	return nil
}

func (s *Snapshot) removeDigest(caller string) {
	old := s.callers[caller].digest()
	if s.byDigest[old] == caller {
		delete(s.byDigest, old)
	}
}

// checkUniqueKeys returns an error if two callers have the same key, since requests
// could be attributed to either.
func (s *Snapshot) checkUniqueKeys() error {
	if len(s.byDigest) == len(s.callers) {
		return nil
	}
	return errors.New("two callers have the same key_digest")
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// searchShard returns the index of a name in a sorted shard, or where to insert it.
func searchShard(shard []record, name string) (int, bool) {
	at := sort.Search(len(shard), func(i int) bool { return shard[i].name >= name })
	return at, at < len(shard) && shard[at].name == name
}

func (s *Snapshot) copyShardOnce(index int, copied map[int]bool) []record {
	if !copied[index] {
		s.shards[index] = append([]record(nil), s.shards[index]...)
		copied[index] = true
	}
	return s.shards[index]
}

func (s *Snapshot) putAdapter(a Adapter, copied map[int]bool) {
	index := shardOf(a.Name)
	shard := s.copyShardOnce(index, copied)
	updated := record{name: strings.Clone(a.Name), profile: s.profiles.intern(a)}
	at, found := searchShard(shard, a.Name)
	if found {
		shard[at] = updated
		return
	}
	shard = append(shard, record{})
	copy(shard[at+1:], shard[at:])
	shard[at] = updated
	s.shards[index] = shard
	s.count++
}

func (s *Snapshot) deleteAdapter(name string, copied map[int]bool) error {
	index := shardOf(name)
	shard := s.copyShardOnce(index, copied)
	at, found := searchShard(shard, name)
	if !found {
		return errors.Errorf("no adapter %q", name)
	}
	s.shards[index] = append(shard[:at], shard[at+1:]...)
	s.count--
	return nil
}

func (s *Snapshot) putRule(rule Rule) {
	for i := range s.rules {
		if s.rules[i].Name == rule.Name {
			s.rules[i] = rule
			return
		}
	}
	s.rules = append(s.rules, rule)
}

func (s *Snapshot) deleteRule(name string) error {
	for i := range s.rules {
		if s.rules[i].Name == name {
			s.rules = append(s.rules[:i], s.rules[i+1:]...)
			return nil
		}
	}
	return errors.Errorf("no rule %q", name)
}

// Adapter returns one adapter by name.
func (s *Snapshot) Adapter(name string) (Adapter, bool) {
	shard := s.shards[shardOf(name)]
	at, found := searchShard(shard, name)
	if !found {
		return Adapter{}, false
	}
	return shard[at].adapter(), true
}

func (r record) adapter() Adapter {
	p := r.profile
	return Adapter{Name: r.name, Base: p.base, Versions: p.versions, Current: p.current, Callers: p.callers}
}

// Adapters returns all adapters, sorted by name.
func (s *Snapshot) Adapters() []Adapter {
	all := make([]Adapter, 0, s.count)
	for _, shard := range s.shards {
		for _, rec := range shard {
			all = append(all, rec.adapter())
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Callers returns all callers, sorted by name.
func (s *Snapshot) Callers() []Caller { return sortedValues(s.callers) }

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []Service { return sortedValues(s.services) }

// Rules returns all rules in the order in which they were added.
func (s *Snapshot) Rules() []Rule { return append([]Rule(nil), s.rules...) }

func sortedValues[V any](from map[string]V) []V {
	names := make([]string, 0, len(from))
	for name := range from {
		names = append(names, name)
	}
	sort.Strings(names)
	values := make([]V, 0, len(from))
	for _, name := range names {
		values = append(values, from[name])
	}
	return values
}

// Document returns the complete inventory as operators write it.
func (s *Snapshot) Document() Document {
	return Document{Adapters: s.Adapters(), Callers: s.Callers(), Services: s.Services(), Rules: s.Rules()}
}

// CallerByKey returns the caller whose bearer key has the given digest.
func (s *Snapshot) CallerByKey(key credential.Digest) (Caller, bool) {
	name, ok := s.byDigest.Holder(key)
	return s.callers[name], ok
}

// Service returns one service by name.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Allows reports whether a list of callers allows the given one.
func Allows(callers []string, caller string) bool {
	for _, allowed := range callers {
		if allowed == AnyCaller || allowed == caller {
			return true
		}
	}
	return false
}

// ModelName returns the name of an adapter's version in engines. It contains the
// version, so that a new version can never be served under the name of the old one.
func ModelName(adapter, version string) string { return adapter + "@" + version }

// SplitModel splits a model name into adapter and version; the version is empty if none
// was given.
func SplitModel(model string) (adapter, version string) {
	adapter, version, _ = strings.Cut(model, "@")
	return adapter, version
}

// Resolve returns the adapter and the version that a request for a model runs on.
func (s *Snapshot) Resolve(model string) (Adapter, string, error) {
	name, version := SplitModel(model)
	adapter, ok := s.Adapter(name)
	if !ok {
		return Adapter{}, "", errors.Errorf("no adapter %q in the inventory", name)
	}
	if version == "" {
		return adapter, adapter.Current, nil
	}
	for _, known := range adapter.Versions {
		if known == version {
			return adapter, version, nil
		}
	}
	return Adapter{}, "", errors.Errorf("adapter %q has no version %q", name, version)
}

// Policy is how a request is handled according to the rules.
type Policy struct {
	NonIdempotent bool
	Priority      int
}

// PolicyFor applies the rules to a caller's request, which is either for an adapter or for
// a service; the other name is empty. Later rules override the priority of earlier ones.
func (s *Snapshot) PolicyFor(caller Caller, adapter, service, path string) Policy {
	policy := Policy{Priority: caller.Priority}
	for _, rule := range s.rules {
		if !rule.matches(caller.Name, adapter, service, path) {
			continue
		}
		policy.NonIdempotent = policy.NonIdempotent || rule.NonIdempotent
		if rule.Priority != nil {
			policy.Priority = *rule.Priority
		}
	}
	return policy
}

func (r Rule) matches(caller, adapter, service, path string) bool {
	return (r.Caller == "" || r.Caller == caller) &&
		(r.Adapter == "" || r.Adapter == adapter) &&
		(r.Service == "" || r.Service == service) &&
		strings.HasPrefix(path, r.PathPrefix)
}
