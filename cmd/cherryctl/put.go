package main

import (
	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/pkg/errors"
)

type putCommand struct {
	changeFlags
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"adapter, caller, service or rule"`
		File string `positional-arg-name:"FILE" description:"the item in JSON, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute adds or changes one item.
func (c *putCommand) Execute([]string) error {
	op, err := putOp(c.Args.Kind, c.Args.File)
	if err != nil {
		return err
	}
	return c.submitChange(adminapi.ChangeRequest{Ops: []inventory.Op{op}})
}

func putOp(kind, file string) (inventory.Op, error) {
	switch kind {
	case "adapter":
		item := &inventory.Adapter{}
		return inventory.Op{PutAdapter: item}, readJSON(file, item)
	case "caller":
		item := &inventory.Caller{}
		return inventory.Op{PutCaller: item}, readJSON(file, item)
	case "service":
		item := &inventory.Service{}
		return inventory.Op{PutService: item}, readJSON(file, item)
	case "rule":
		item := &inventory.Rule{}
		return inventory.Op{PutRule: item}, readJSON(file, item)
	default:
		return inventory.Op{}, unknownKind(kind)
	}
}

func unknownKind(kind string) error {
	return errors.Errorf("no kind %q: want adapter, caller, service or rule", kind)
}

type deleteCommand struct {
	changeFlags
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"adapter, caller, service or rule"`
		Name string `positional-arg-name:"NAME" description:"the item's name"`
	} `positional-args:"yes" required:"yes"`
}

// Execute deletes one item.
func (c *deleteCommand) Execute([]string) error {
	var op inventory.Op
	switch c.Args.Kind {
	case "adapter":
		op.DeleteAdapter = c.Args.Name
	case "caller":
		op.DeleteCaller = c.Args.Name
	case "service":
		op.DeleteService = c.Args.Name
	case "rule":
		op.DeleteRule = c.Args.Name
	default:
		return unknownKind(c.Args.Kind)
	}
	return c.submitChange(adminapi.ChangeRequest{Ops: []inventory.Op{op}})
}
