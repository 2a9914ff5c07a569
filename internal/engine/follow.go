package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// lane is one connection on which a response arrives.
type lane struct {
	cancel context.CancelFunc
	// sequential is the position of the lane's next event, if events have no IDs.
	sequential int
}

// arrival is an event of a lane, or its end.
type arrival struct {
	lane  *lane
	event sse.Event
	// ended is set at the end of the lane, with the cause and, if the engine refused to send the rest,
	// its status.
	ended  bool
	cause  error
	status int
}

// follower delivers a response from the lanes on which it arrives. After a silence it opens another
// lane beside the silent one; the first event on either decides, and the others are closed.
//
// If the silent lane were closed first, a response whose rest the engine refuses to send elsewhere, or
// which no new connection reaches, would end although the engine goes on.
type follower struct {
	*attempt
	// first is the lane of the request itself.
	first    *lane
	lanes    map[*lane]bool
	arrivals chan arrival
	resumes  int
	// sent gets the failure to get a response, nil once its headers have arrived. It is nil from then
	// on, and once another lane has brought an event.
	sent chan *Failure
	// began is when the request was sent, conn is the pooled connection on which that was, if any.
	began time.Time
	conn  net.Conn
	// refused is set once the engine has refused to send the rest.
	refused bool
	timer   *time.Timer
}

func newFollower(a *attempt) *follower {
	return &follower{attempt: a, lanes: map[*lane]bool{}, arrivals: make(chan arrival), sent: make(chan *Failure, 1)}
}

// openFirst sends the request. Its response arrives on the first lane.
func (f *follower) openFirst(ctx context.Context) {
	f.began = time.Now()
	limit := f.client.cfg.FirstPieceTimeout
	f.timer = time.NewTimer(limit)
	ctx, cancel := context.WithCancel(ctx)
	f.first = f.addLane(cancel)
	l, sent := f.first, f.sent
	go func() {
		sendCtx, stop := context.WithCancelCause(ctx)
		defer stop(nil)
		timer := time.AfterFunc(limit, func() { stop(errSilenceTimeout) })
		resp, failure := f.send(sendCtx)
		timer.Stop()
		sent <- failure
		if failure == nil {
			f.readLane(ctx, l, resp.Body)
		}
	}()
}

// follow delivers the response until it is complete.
func (f *follower) follow(ctx context.Context) *Failure {
	defer f.timer.Stop()
	defer f.closeLanes(nil)
	for {
		select {
		case failure := <-f.sent:
			if failure := f.handleSent(ctx, failure); failure != nil {
				return failure
			}
		case f.conn = <-f.reused:
			// A pooled connection may have died while it was idle. Rather than wait for
			// FirstPieceTimeout, wait for SilenceTimeout if that is shorter, and then ask on a new
			// connection beside it.
			f.timer.Reset(min(f.client.cfg.SilenceTimeout, f.client.cfg.FirstPieceTimeout))
		case next := <-f.arrivals:
			if !f.lanes[next.lane] {
				continue
			}
			if failure := f.handle(ctx, next); failure != nil {
				return failure
			}
			if f.assembler.Complete() {
				f.drain(next.lane)
				return nil
			}
		case <-f.timer.C:
			if failure := f.handleSilence(ctx); failure != nil {
				return failure
			}
		case <-ctx.Done():
			return f.callerGone(ctx)
		}
	}
}

// handleSent handles the headers of the response, or the failure to get any. A request that was silent
// on a pooled connection may still be answered on a new one.
func (f *follower) handleSent(ctx context.Context, failure *Failure) *Failure {
	f.sent = nil
	if failure == nil {
		if f.resumes == 0 {
			f.timer.Reset(f.firstPieceWait())
		}
		return nil
	}
	if failure.Code != CodeSilent || !f.isPooled() {
		return failure
	}
	f.first.cancel()
	delete(f.lanes, f.first)
	switch {
	case len(f.lanes) > 0:
		return nil
	case f.resumes >= f.client.cfg.MaxResumes:
		return failure
	}
	f.openRest(ctx)
	return nil
}

// firstPieceWait returns the time from the headers of the response until its first piece is due.
func (f *follower) firstPieceWait() time.Duration {
	wait := max(0, f.client.cfg.FirstPieceTimeout-time.Since(f.began))
	if f.isPooled() {
		return min(f.client.cfg.SilenceTimeout, wait)
	}
	return wait
}

// handleSilence opens another lane. Once all have been, the response is given up; but an engine that
// answers, and only refuses to send the rest, has until FirstPieceTimeout to begin.
func (f *follower) handleSilence(ctx context.Context) *Failure {
	if f.sent != nil && !f.isPooled() {
		return nil
	}
	if f.resumes < f.client.cfg.MaxResumes {
		f.openRest(ctx)
		return nil
	}
	if f.sent != nil && f.refused {
		return nil
	}
	return f.streamFailure(CodeSilent, errSilenceTimeout)
}

// callerGone returns the failure for a caller that has left. A request that was not sent has not run.
func (f *follower) callerGone(ctx context.Context) *Failure {
	if f.sent != nil {
		if failure := <-f.sent; failure != nil {
			return failure
		}
	}
	return &Failure{Stage: StageCaller, Code: CodeCallerGone, Delivered: f.delivered, Cause: ctx.Err()}
}

// handle handles an event or the end of a lane.
func (f *follower) handle(ctx context.Context, next arrival) *Failure {
	if next.ended {
		return f.endLane(ctx, next)
	}
	return f.acceptEvent(next)
}

// acceptEvent delivers an event of a lane, and closes the other lanes.
func (f *follower) acceptEvent(next arrival) *Failure {
	f.closeLanes(next.lane)
	f.sent = nil
	defer f.timer.Reset(f.client.cfg.SilenceTimeout)
	position := positionOf(next.event, next.lane.sequential)
	next.lane.sequential++
	if next.event.Data == doneMarker {
		f.assembler.End(position)
		return nil
	}
	return f.accept(Piece{Position: position, Data: []byte(next.event.Data)})
}

// endLane continues after the end of a lane: it listens to the others, or opens another if there is
// none.
func (f *follower) endLane(ctx context.Context, end arrival) *Failure {
	end.lane.cancel()
	delete(f.lanes, end.lane)
	f.refused = f.refused || end.status != 0
	switch {
	case (end.status == http.StatusNotFound || end.status == http.StatusGone) && !f.isUnregistered():
		// The engine answers and doesn't have the response any more, or never got the request.
		return f.streamFailure(CodeNoAnswer, end.cause)
	case len(f.lanes) > 0:
		return nil
	case end.status != 0:
		return f.streamFailure(CodeNoAnswer, end.cause)
	case f.resumes >= f.client.cfg.MaxResumes:
		return f.streamFailure(CodeTruncated, end.cause)
	}
	f.openRest(ctx)
	return nil
}

// isPooled reports whether the request was sent on a pooled connection.
func (f *follower) isPooled() bool { return f.conn != nil }

// isUnregistered reports whether the engine may have the request without knowing its response yet: it has
// sent nothing on a pooled connection, and its system has the request. On a connection that died while it
// was idle the request does not arrive.
func (f *follower) isUnregistered() bool {
	return f.sent != nil && f.isPooled() && f.lanes[f.first] && allArrived(f.conn)
}

// closeLanes closes all lanes but one.
func (f *follower) closeLanes(but *lane) {
	for l := range f.lanes {
		if l != but {
			l.cancel()
			delete(f.lanes, l)
		}
	}
}

// drain reads the lane to its end, within bounds, so that its connection can be reused.
func (f *follower) drain(l *lane) {
	bound := time.NewTimer(drainTimeout)
	defer bound.Stop()
	for {
		select {
		case next := <-f.arrivals:
			if next.lane == l && next.ended {
				return
			}
		case <-bound.C:
			return
		}
	}
}

func (f *follower) addLane(cancel context.CancelFunc) *lane {
	l := &lane{cancel: cancel, sequential: f.assembler.Next()}
	f.lanes[l] = true
	return l
}

// openRest requests the response from the first missing piece on. It uses a new connection, which may
// work although the old one is dead.
func (f *follower) openRest(ctx context.Context) {
	f.resumes++
	f.timer.Reset(f.client.cfg.SilenceTimeout)
	ctx, cancel := context.WithCancel(ctx)
	l := f.addLane(cancel)
	url := "http://" + f.call.Address + "/v1/streams/" + f.call.AttemptID + "?from=" + strconv.Itoa(l.sequential)
	go func() {
		body, status, err := f.requestRest(ctx, url)
		if err != nil {
			f.handOver(ctx, arrival{lane: l, ended: true, status: status, cause: err})
			return
		}
		f.readLane(ctx, l, body)
	}()
}

// requestRest returns the body of the rest of a response, or else the status with which it was refused,
// 0 without an answer.
func (f *follower) requestRest(ctx context.Context, url string) (body io.ReadCloser, status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set(HeaderTrace, f.call.TraceID)
	resp, err := f.client.unpooled.Do(req)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, resp.StatusCode, errors.Errorf("resume refused with status %d", resp.StatusCode)
	}
	return resp.Body, 0, nil
}

// readLane sends the events of a lane until its end.
func (f *follower) readLane(ctx context.Context, l *lane, body io.ReadCloser) {
	defer func() { _ = body.Close() }()
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxPieceBytes}) {
		if err != nil {
			f.handOver(ctx, arrival{lane: l, ended: true, cause: err})
			return
		}
		if !f.handOver(ctx, arrival{lane: l, event: event}) {
			return
		}
	}
	f.handOver(ctx, arrival{lane: l, ended: true, cause: io.ErrUnexpectedEOF})
}

// handOver hands an arrival over and reports whether the lane is still open.
func (f *follower) handOver(ctx context.Context, next arrival) bool {
	select {
	case f.arrivals <- next:
		return true
	case <-ctx.Done():
		return false
	}
}
