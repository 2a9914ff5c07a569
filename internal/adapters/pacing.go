package adapters

import (
	"sync"

	"github.com/cherrystage/cherrystage/internal/site"
)

// pacingCache keeps what a configuration says about the pacing of each service. Runners are
// reconciled ten times a second, and a service's least target gap takes a pass over all routes.
type pacingCache struct {
	mu        sync.Mutex
	config    *site.Config
	byService map[string]Pacing
}

// of returns the pacing of a service with an engine.
func (p *pacingCache) of(config *site.Config, name string) Pacing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config != config {
		p.config, p.byService = config, map[string]Pacing{}
	}
	pacing, known := p.byService[name]
	if !known {
		service := config.Services[name]
		pacing = Pacing{EventTokens: service.Engine.EventTokens, TargetGap: config.LeastTargetGap(name), HealthPath: service.HealthCheckPath()}
		p.byService[name] = pacing
	}
	return pacing
}

// setPacing takes over what the configuration says.
func (c *Controller) setPacing(pacing Pacing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spec.Pacing = pacing
}

// updatePacing passes on what the configuration says to the running controllers. They are called
// without holding o.mu, see inheritLateOrders.
func (o *Owner) updatePacing(owned map[string]ownedRunner) {
	for id, controller := range o.controllersByID() {
		if needed, ok := owned[id]; ok {
			controller.setPacing(needed.pacing)
		}
	}
}
