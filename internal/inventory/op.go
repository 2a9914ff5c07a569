package inventory

import (
	"reflect"
	"sort"

	"github.com/pkg/errors"
)

// Op is one operation of a change: it puts or deletes exactly one item.
type Op struct {
	PutAdapter    *Adapter `json:"put_adapter,omitempty"`
	DeleteAdapter string   `json:"delete_adapter,omitempty"`
	PutCaller     *Caller  `json:"put_caller,omitempty"`
	DeleteCaller  string   `json:"delete_caller,omitempty"`
	PutService    *Service `json:"put_service,omitempty"`
	DeleteService string   `json:"delete_service,omitempty"`
	PutRule       *Rule    `json:"put_rule,omitempty"`
	DeleteRule    string   `json:"delete_rule,omitempty"`
}

// Item returns the name of the item that the op changes, such as "adapter/berth-7".
func (o Op) Item() string {
	switch {
	case o.PutAdapter != nil:
		return "adapter/" + o.PutAdapter.Name
	case o.DeleteAdapter != "":
		return "adapter/" + o.DeleteAdapter
	case o.PutCaller != nil:
		return "caller/" + o.PutCaller.Name
	case o.DeleteCaller != "":
		return "caller/" + o.DeleteCaller
	case o.PutService != nil:
		return "service/" + o.PutService.Name
	case o.DeleteService != "":
		return "service/" + o.DeleteService
	case o.PutRule != nil:
		return "rule/" + o.PutRule.Name
	case o.DeleteRule != "":
		return "rule/" + o.DeleteRule
	default:
		return ""
	}
}

// Deletes reports whether the op deletes its item.
func (o Op) Deletes() bool {
	return o.DeleteAdapter != "" || o.DeleteCaller != "" || o.DeleteService != "" || o.DeleteRule != ""
}

// Check returns an error if the op is invalid by itself.
func (o Op) Check() error {
	switch {
	case o.PutAdapter != nil:
		return o.PutAdapter.Check()
	case o.PutCaller != nil:
		return o.PutCaller.Check()
	case o.PutService != nil:
		return o.PutService.Check()
	case o.PutRule != nil:
		return o.PutRule.Check()
	case o.Deletes():
		return nil
	default:
		return errors.New("a step of the change puts and deletes nothing")
	}
}

// Diff returns the ops that turn the snapshot into the document, by kind of item, and
// within a kind sorted by item with deletions last.
func Diff(from *Snapshot, to Document) []Op {
	var ops []Op
	ops = append(ops, diffKind(from.Adapters(), to.Adapters, func(a Adapter) string { return a.Name },
		func(a Adapter) Op { return Op{PutAdapter: &a} },
		func(a Adapter) Op { return Op{DeleteAdapter: a.Name} })...)
	ops = append(ops, diffKind(from.Callers(), to.Callers, func(c Caller) string { return c.Name },
		func(c Caller) Op { return Op{PutCaller: &c} },
		func(c Caller) Op { return Op{DeleteCaller: c.Name} })...)
	ops = append(ops, diffKind(from.Services(), to.Services, func(s Service) string { return s.Name },
		func(s Service) Op { return Op{PutService: &s} },
		func(s Service) Op { return Op{DeleteService: s.Name} })...)
	ops = append(ops, diffKind(from.Rules(), to.Rules, func(r Rule) string { return r.Name },
		func(r Rule) Op { return Op{PutRule: &r} },
		func(r Rule) Op { return Op{DeleteRule: r.Name} })...)
	return ops
}

func diffKind[T any](from, to []T, name func(T) string, put, del func(T) Op) []Op {
	old := make(map[string]T, len(from))
	for _, item := range from {
		old[name(item)] = item
	}
	var ops []Op
	for _, item := range to {
		before, existed := old[name(item)]
		delete(old, name(item))
		if !existed || !reflect.DeepEqual(before, item) {
			ops = append(ops, put(item))
		}
	}
	for _, item := range old {
		ops = append(ops, del(item))
	}
	sort.SliceStable(ops, func(i, j int) bool {
		if ops[i].Deletes() != ops[j].Deletes() {
			return !ops[i].Deletes()
		}
		return ops[i].Item() < ops[j].Item()
	})
	return ops
}

// Conflict returns an item that both changes modify, or "".
func Conflict(a, b []Op) string {
	touched := make(map[string]bool, len(a))
	for _, op := range a {
		touched[op.Item()] = true
	}
	for _, op := range b {
		if touched[op.Item()] {
			return op.Item()
		}
	}
	return ""
}
