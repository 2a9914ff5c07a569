// Package contention defines what a host reports of scheduling under contention on its metrics
// page, counts the requests of that report, and merges the reports of hosts. See
// docs/design/contention-operators.md.
package contention

// Page is the part of a host's metrics page on scheduling under contention. Counts are since the
// host's start unless they are said to be of now. A list that a host doesn't fill is absent.
type Page struct {
	// Requests counts callers' requests on the host.
	Requests []Requests `json:"requests,omitempty"`
	// Adapters lists at most MaxAdapters adapters, those with the most demand whose homes are
	// runners that the host owns.
	Adapters []Adapter `json:"adapters,omitempty"`
	// Evictions counts the evictions of adapters on these runners, by reason.
	Evictions map[string]int64 `json:"evictions,omitempty"`
	// Runners lists the engines that the host owns.
	Runners []Runner `json:"runners,omitempty"`
	// Slots lists the slot ledgers that the host keeps.
	Slots []SlotLedger `json:"slots,omitempty"`
}

// MaxAdapters is the number of adapters that a page lists.
const MaxAdapters = 20

// RequestKey identifies requests that are counted together.
type RequestKey struct {
	// WorkspacePriority and RoutePriority are the requests' precedence, see site.Precedence.
	WorkspacePriority int `json:"workspace_priority"`
	RoutePriority     int `json:"route_priority"`
	// Workspace is the name of the workspace, empty for requests without one and Others for
	// those that exceed the number of keys.
	Workspace string `json:"workspace,omitempty"`
	// Cause is what the requests wait for or why they were refused. It is empty for the counts
	// that have no cause.
	Cause string `json:"cause,omitempty"`
}

// Requests counts the requests with one key. Open, Served and Failed are 0 where the key has a
// cause, Deferred and Refused where it has none.
type Requests struct {
	RequestKey
	// Open is the number of requests in progress now, waiting or running.
	Open int64 `json:"open,omitempty"`
	// Served counts complete answers of runners. Failed counts the requests that were neither
	// served nor refused, for example because the caller left.
	Served int64 `json:"served,omitempty"`
	Failed int64 `json:"failed,omitempty"`
	// Deferred is the number of requests that wait now.
	Deferred int64 `json:"deferred,omitempty"`
	// Refused counts refusals.
	Refused int64 `json:"refused,omitempty"`
}

// add adds the counts of another host for the same key.
func (r *Requests) add(other Requests) {
	r.Open += other.Open
	r.Served += other.Served
	r.Failed += other.Failed
	r.Deferred += other.Deferred
	r.Refused += other.Refused
}

// Adapter is the demand for an adapter at its homes among the runners that a host owns.
type Adapter struct {
	// Adapter is the adapter as MODEL/NAME.
	Adapter string `json:"adapter"`
	// PerS is the decayed number of requests per second that asked the home, RefusedPerS that of
	// those that it refused as busy.
	PerS        float64 `json:"per_s"`
	RefusedPerS float64 `json:"refused_per_s,omitempty"`
	// Replicas are the runners that are known to hold the adapter, Planned the number of the home's
	// last plan, 0 if it made none.
	Replicas []string `json:"replicas,omitempty"`
	Planned  int      `json:"planned,omitempty"`
}

// Runner is the state of an engine as its owner knows it.
type Runner struct {
	Runner  string `json:"runner"`
	Service string `json:"service,omitempty"`
	// Load is the number of requests on the runner now, Slots that of its request slots.
	Load  int `json:"load"`
	Slots int `json:"slots"`
	// Suspect reports that hosts avoid the runner.
	Suspect bool `json:"suspect,omitempty"`
	// TokensPerMS is the prefill speed learned from first events, 0 if it is not known.
	TokensPerMS float64 `json:"tokens_per_ms,omitempty"`
	// WorkPercent is the work time that the runner announced WorkAgeMS ago, in percent of the
	// usual time; 0 if it announced none.
	WorkPercent int   `json:"work_percent,omitempty"`
	WorkAgeMS   int64 `json:"work_age_ms,omitempty"`
	// BacklogMS is the time that the prompts take that wait for their prefill.
	BacklogMS int64 `json:"backlog_ms,omitempty"`
}

// SlotLedger is the state of the request slots of a service's plain runners.
type SlotLedger struct {
	Service string `json:"service"`
	// Slots is the number of request slots of the service's runners, Granted the number of
	// those that are in use now, and Queued the number of requests that wait for one now, one of
	// them for LongestWaitMS.
	Slots         int   `json:"slots"`
	Granted       int   `json:"granted"`
	Queued        int   `json:"queued"`
	LongestWaitMS int64 `json:"longest_wait_ms,omitempty"`
	// HoldMS is the mean time for which a slot is held.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// Grants counts the slots granted, Refused the requests refused, and Expired the grants that
	// no release ended. Promoted counts the requests that went before others of higher precedence
	// because theirs had too few slots, RefusedByRunner the granted requests that runners refused.
	Grants          int64 `json:"grants"`
	Refused         int64 `json:"refused,omitempty"`
	Expired         int64 `json:"expired,omitempty"`
	Promoted        int64 `json:"promoted,omitempty"`
	RefusedByRunner int64 `json:"refused_by_runner,omitempty"`
	// Full lists the runners that are treated as full although the ledger shows free slots.
	Full []string `json:"full,omitempty"`
}

// Sources provide the parts of a page that packages other than this one know. They are called
// when the page is read and must be safe for concurrent use. A part whose source is nil is absent.
type Sources struct {
	// Adapters returns the adapters with the most demand, at most MaxAdapters.
	Adapters  func() []Adapter
	Evictions func() map[string]int64
	Runners   func() []Runner
	Slots     func() []SlotLedger
}

// Page returns the current page.
func (s Sources) Page(requests *Counters) Page {
	page := Page{Requests: requests.Requests()}
	if s.Adapters != nil {
		page.Adapters = s.Adapters()
	}
	if s.Evictions != nil {
		page.Evictions = s.Evictions()
	}
	if s.Runners != nil {
		page.Runners = s.Runners()
	}
	if s.Slots != nil {
		page.Slots = s.Slots()
	}
	return page
}
