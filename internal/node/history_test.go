package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cherrystage/cherrystage/internal/adminclient"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// changeInput is a submitted change, based on a revision.
type changeInput struct{ from inventory.Revision }

// changeOutput is the result that the operator received.
type changeOutput struct {
	accepted inventory.Revision
	refused  inventory.Revision // the revision that was in force
	verdict  verdict.Verdict
}

// headModel models the head of the inventory as a register. A change is accepted if and only if
// it is based on the current revision, which it increments. A change whose outcome is unknown
// may or may not have been accepted.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{inventory.Revision(1)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(inventory.Revision), input.(changeInput), output.(changeOutput)
		upToDate := in.from == current
		switch {
		case out.accepted > 0 && upToDate && out.accepted == current+1:
			return []any{out.accepted}
		case out.accepted > 0:
			return nil
		case out.refused > 0 && (upToDate || out.refused != current):
			return nil
		case out.verdict == verdict.MayHaveRun && upToDate:
			return []any{current, current + 1}
		default:
			return []any{current}
		}
	},
}

func TestHistoryOfChangesIsLinearizable(t *testing.T) {
	// Six operators race changes through three hosts while the object API loses responses and
	// has an outage. The results are consistent with one order of all changes, in which none is
	// lost or accepted twice.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		var mu sync.Mutex
		var history []porcupine.Operation
		began := time.Now()
		var wg sync.WaitGroup
		for client := range 6 {
			wg.Go(func() {
				host := fmt.Sprintf("e%d", client%3+1)
				for i := range 25 {
					from := c.nodes[host].Snapshot().Revision()
					called := time.Since(began)
					out := c.raceChange(host, fmt.Sprintf("h-%d-%d", client, i), from)
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: client, Input: changeInput{from}, Call: int64(called), Output: out, Return: int64(time.Since(began)),
					})
					mu.Unlock()
					time.Sleep(time.Duration(50+37*client) * time.Millisecond)
				}
			})
		}
		for range 8 {
			time.Sleep(300 * time.Millisecond)
			c.env.Platform.DropResponses(4)
		}
		c.env.Platform.SetDown(true)
		time.Sleep(400 * time.Millisecond)
		c.env.Platform.SetDown(false)
		wg.Wait()
		accepted := 0
		for _, operation := range history {
			if operation.Output.(changeOutput).accepted > 0 {
				accepted++
			}
		}
		must.Positive(t, accepted)
		must.True(t, porcupine.CheckOperations(headModel.ToModel(), history), must.Sprintf("%+v", history))
		t.Logf("%d changes, %d accepted", len(history), accepted)
	})
}

func (c *cluster) raceChange(host, id string, from inventory.Revision) changeOutput {
	result, err := c.change(host, id, from, putRule("raced", id))
	if err == nil {
		return changeOutput{accepted: result.Revision}
	}
	var failed *adminclient.APIError
	if errors.As(err, &failed) {
		return changeOutput{refused: failed.Current, verdict: failed.Verdict()}
	}
	return changeOutput{verdict: verdict.MayHaveRun}
}
