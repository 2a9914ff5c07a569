package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// A request was matched to its route in one configuration, and its service is looked up in the next one,
// which no longer has it.
func TestRequestIsServedInOneConfiguration(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		services := w.config().Services
		services["moved"] = &site.Service{Name: "moved", Engine: services[llm].Engine}
		w.earlierConfig = site.NewConfig(1, nil, []*site.Service{services[llm]}, site.Limits{})
		delete(services, llm)
		must.Eq(t, http.StatusOK, w.serveAdapter("a", 5*time.Second).Code)
	})
}
