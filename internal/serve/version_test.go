package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A new version of an adapter comes into force while a request waits for it. With the version
// of its arrival, the request would start on one that was replaced seconds ago and that callers
// of other hosts no longer get. It is placed again and starts on the new version.
func TestWaitingRequestTakesTheNewVersion(t *testing.T) {
	for name, again := range map[string]bool{"waits for its adapter": true, "waits for prompts before it": false} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 2, func(w *testEnv) {
				w.setVersion("a1", 1)
				w.owners.admissions = append(w.owners.admissions, admitAfter(1700*time.Millisecond, again))
				time.AfterFunc(300*time.Millisecond, func() { w.setVersion("a1", 2) })
				answer := w.serveAdapter("a1", 12*time.Second)
				must.Eq(t, http.StatusOK, answer.Code)
				must.Eq(t, []string{"2"}, w.sentVersions)
			})
		})
	}
}

// A new version comes into force just before a waiting request is sent. The older version is
// loaded, and loading the new one would make the request late. It is sent with the older one,
// well within the time by which a new version must be in force.
func TestNewVersionDoesNotDelayAShortWait(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.setVersion("a1", 1)
		w.owners.admissions = append(w.owners.admissions, admitAfter(250*time.Millisecond, true))
		time.AfterFunc(100*time.Millisecond, func() { w.setVersion("a1", 2) })
		must.Eq(t, http.StatusOK, w.serveAdapter("a1", 12*time.Second).Code)
		must.Eq(t, []string{"1"}, w.sentVersions)
	})
}
