package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/pkg/errors"
)

// changeFlags are the flags of all commands that make changes.
type changeFlags struct {
	From     int64  `long:"from" default:"-1" description:"revision that the change was made from; by default the one that the file names, else the one in force"`
	Note     string `long:"note" description:"note for the audit trail"`
	ChangeID string `long:"change-id" description:"identifier of the change; give that of an earlier try whose outcome is unknown"`
	DryRun   bool   `long:"dry-run" description:"show what would change, and change nothing"`
}

type applyCommand struct {
	changeFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"inventory in JSON, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces the inventory by the content of a file.
func (c *applyCommand) Execute([]string) error {
	var file adminapi.InventoryResult
	if err := readJSON(c.Args.File, &file); err != nil {
		return err
	}
	if c.From < 0 && file.Revision > 0 {
		// The file names the revision that it was read at. Starting from that revision keeps the
		// change from silently undoing later ones.
		c.From = int64(file.Revision)
	}
	return c.submitChange(adminapi.ChangeRequest{Document: &file.Document})
}

func readJSON(path string, value any) error {
	var content []byte
	var err error
	if path == "-" {
		content, err = io.ReadAll(os.Stdin)
	} else {
		content, err = os.ReadFile(path)
	}
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return errors.Wrap(decodeStrict(content, value), path)
}

// submitChange sends a change and prints its outcome.
func (f *changeFlags) submitChange(req adminapi.ChangeRequest) error {
	ctx := context.Background()
	req.Note, req.DryRun, req.ChangeID = f.Note, f.DryRun, f.ChangeID
	if req.ChangeID == "" {
		req.ChangeID = newChangeID()
	}
	if f.From >= 0 {
		req.From = inventory.Revision(f.From)
	} else {
		current, err := newClient().Status(ctx)
		if err != nil {
			return err
		}
		req.From = current.Revision
	}
	result, err := newClient().Change(ctx, req)
	if err != nil {
		return errors.WithMessagef(err, "change %s", req.ChangeID)
	}
	return printResult(result, func(w *tabwriter.Writer) {
		printOps(w, result.Ops)
		switch {
		case len(result.Ops) == 0:
			printRow(w, fmt.Sprintf("nothing to change; revision %d", result.Revision))
		case result.DryRun:
			printRow(w, fmt.Sprintf("dry run: %d items would change", len(result.Ops)))
		default:
			printRow(w, fmt.Sprintf("accepted as revision %d (change %s)", result.Revision, result.ChangeID))
		}
	})
}

func newChangeID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// decodeStrict rejects unknown fields, because a misspelt field of a rule would otherwise be
// ignored.
func decodeStrict(content []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}
