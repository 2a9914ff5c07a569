package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A caller asks for an adapter at a crowded store and is told to wait. A new version
// of the adapter is named meanwhile, and only then is its turn. Sent with the version
// of its arrival, it would begin on one that was replaced seconds ago, which callers
// of other hosts no longer get. It is placed anew and begins on the new version.
func TestWaitingRequestTakesTheNewVersion(t *testing.T) {
	for name, again := range map[string]bool{"waits for its adapter": true, "waits for prompts before it": false} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				w.name("a1", 1)
				w.owners.answers = append(w.owners.answers, later(1700*time.Millisecond, again))
				time.AfterFunc(300*time.Millisecond, func() { w.name("a1", 2) })
				answer := w.ask("a1", 12*time.Second)
				must.Eq(t, http.StatusOK, answer.Code)
				must.Eq(t, []string{"2"}, w.sent)
			})
		})
	}
}

// A new version is named a moment before a waiting request's turn. Its adapter is
// there at the version of its arrival, and another load would make it late; it goes
// on as it is, well within the time in which a version has to be in force.
func TestNewVersionDoesNotDelayAShortWait(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.name("a1", 1)
		w.owners.answers = append(w.owners.answers, later(250*time.Millisecond, true))
		time.AfterFunc(100*time.Millisecond, func() { w.name("a1", 2) })
		must.Eq(t, http.StatusOK, w.ask("a1", 12*time.Second).Code)
		must.Eq(t, []string{"1"}, w.sent)
	})
}
