package serve

import (
	"maps"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/streams"
)

// lifecycle is the state of one request while it is served. A second attempt beside a silent one has
// a lifecycle of its own, made by fork.
type lifecycle struct {
	*call
	*reply
	*attempt

	// hedging is set for a second attempt, which writes no answer; hedgeRefusal is why it could not
	// be made.
	hedging      bool
	hedgeRefusal string
}

// call is a caller's request. It does not change once run has begun, and all attempts share it.
type call struct {
	s        *Server
	route    *site.Route
	service  *site.Service
	request  *forward.Request
	arrived  time.Time
	deadline time.Time
	budget   *retrybudget.Budget
	firsts   *firstEvents
	charge   Charge
	// ranked is set if requests are ordered by priority, by precedence.
	ranked     bool
	precedence site.Precedence
	// brittle is set if the service's runners fall over if they have to turn away many requests.
	brittle bool
	// subjects is what the quarantine may block the request for, its whole content first.
	subjects []quarantine.Subject
	// originSource is how the origin is known of a stream that the request continues.
	originSource OriginSource
}

// reply is the answer to the caller. Only the goroutine that relays it uses it.
type reply struct {
	progress

	w *answer.Writer
	// counted is the request as counted for the metrics page.
	counted *contention.Request
	// callerGone is set when the answer could not be written.
	callerGone bool
	complete   bool
	status     int
	// reason is why this host generated the answer itself, empty if a runner answered.
	reason string
	// cutReason is why this host ended an answer that had begun, empty if it did not.
	cutReason   string
	firstByteAt time.Time
	// longestGap is the longest pause between two writes of events, which ended at longestGapEnd.
	longestGap    time.Duration
	longestGapEnd time.Time
}

// progress is how much of the answer the caller has got, from where another runner would go on.
type progress struct {
	headerWritten bool
	// events counts the writes of events; lastWriteAt is the time of the latest one.
	events      int
	lastWriteAt time.Time
	lastEventID string
	// origin is what began the stream, nil before its first event.
	origin *streams.Origin
}

// attempt is the state of the latest attempt and of the search for its runner.
type attempt struct {
	history

	runner *site.Runner
	key    adapters.Key
	// keyChosenAt is when the adapter's version was selected.
	keyChosenAt time.Time
	// restriction tells apart what is learnt of an adapter's runners where only some of them may
	// run the request; "" stands for all.
	restriction string
	// rank is the runner's position in the adapter's order; near is set if the order
	// begins with the runners of the host's own data centre.
	rank int
	near bool
	// slot is the request slot that the request holds, nil if none.
	slot *SlotGrant
	// trial is set while the request may be sent although a part of its prompt is blocked.
	trial  bool
	sentAt time.Time
	// via is the host through which it was sent, "" if it was sent directly.
	via     string
	failure *forward.Failure
	// ending is how the end of the answer was judged.
	ending ending
}

// history is what the attempts so far, and the searches for their runners, have learnt.
type history struct {
	// tried holds the IDs of runners to which the request is not sent again.
	tried map[string]bool
	// sentTo holds the addresses to which the request was sent.
	sentTo map[string]bool
	// adapterMisses counts, by runner, the sends that came before the adapter was loaded.
	adapterMisses map[string]int
	// loadingAt is the adapter that the latest send came too early for.
	loadingAt loadingAdapter
	// hasRetry is set while the request holds a retry for the attempt that is prepared.
	hasRetry bool
	sends    int
	// arrivals counts the sends that may have reached a runner.
	arrivals        int
	mayHaveRunCount int
	// permitRunner is the runner for which a permit was acquired ahead of the admission,
	// at permitAt.
	permitRunner string
	permitAt     time.Time
	// soonestRetry is the shortest time until a skipped runner accepts requests again,
	// 0 if none was skipped.
	soonestRetry time.Duration
	// shortestWait is the shortest wait that an owner reported, 0 if none did.
	shortestWait  time.Duration
	waitedForLoad bool
	waited        time.Duration
	// deferrals counts how often an owner told the request to ask again because others
	// go first, deferred is how long it waited for that.
	deferrals int
	deferred  time.Duration
	// ownerWaits counts how often it waited for runners to have owners.
	ownerWaits int
	// refusals are the reasons why owners did not admit the request or a wait was ended.
	refusals []string
	// refusedBy lists the owners that did not admit it, as RUNNER@HOST.
	refusedBy []string
	// skipped lists up to maxSkipped runners that accepted no request.
	skipped []string
	// slotAnswer is the latest answer to a request for a slot, nil if there was none.
	slotAnswer *SlotGrant
	slotWaited time.Duration
}

// clone returns a copy that shares nothing that either side changes.
func (h history) clone() history {
	h.tried, h.sentTo, h.adapterMisses = maps.Clone(h.tried), maps.Clone(h.sentTo), maps.Clone(h.adapterMisses)
	h.refusals, h.refusedBy, h.skipped = slices.Clip(h.refusals), slices.Clip(h.refusedBy), slices.Clip(h.skipped)
	return h
}

func newLifecycle(s *Server, w *answer.Writer, route *site.Route, request *forward.Request, arrived time.Time) *lifecycle {
	return &lifecycle{
		call:    &call{s: s, route: route, request: request, arrived: arrived, deadline: arrived.Add(requestTimeout(route, request))},
		reply:   &reply{w: w},
		attempt: &attempt{history: history{tried: map[string]bool{}, sentTo: map[string]bool{}, adapterMisses: map[string]int{}}},
	}
}

// fork returns the lifecycle of a second attempt, which counts the current one as one that may have
// run. Its search runs beside the relaying, so it knows the answer's progress as of now.
func (l *lifecycle) fork() *lifecycle {
	second := &attempt{history: l.history.clone()}
	// placeWhereItLoads sets neither.
	second.rank, second.near = l.rank, l.near
	second.tried[l.runner.ID] = true
	second.permitRunner, second.hasRetry = "", false
	second.mayHaveRunCount++
	second.arrivals = max(1, l.arrivals)
	return &lifecycle{call: l.call, reply: &reply{progress: l.progress}, attempt: second, hedging: true}
}
