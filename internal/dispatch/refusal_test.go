package dispatch

import (
	"net/http"
	"testing"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// A target answers a request with a status that is neither the one of an answer nor an error. Its
// caller got that status, 204 for example, with nothing behind it.
func TestRefusalHasAStatusOfAnError(t *testing.T) {
	for _, status := range []int{0, 99, http.StatusSwitchingProtocols, http.StatusAccepted, http.StatusNoContent, http.StatusFound} {
		refusal := failureRefusal(&engine.Failure{Stage: engine.StageRefused, Status: status, Code: "status"})
		must.Eq(t, http.StatusBadGateway, refusal.Status)
		must.Eq(t, verdict.MayHaveRun, refusal.Verdict)
	}
	must.Eq(t, http.StatusConflict, failureRefusal(&engine.Failure{Stage: engine.StageRefused, Status: http.StatusConflict, Code: "status"}).Status)
}
