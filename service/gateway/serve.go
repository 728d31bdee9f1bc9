package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

const (
	// retryAfterNoTarget is the Retry-After time if no target could take the request.
	retryAfterNoTarget = 200 * time.Millisecond
	// A caller whose request a target refused although its service has room returns after
	// minRetryAfterWithRoom plus a random part of retryAfterWithRoomSpread.
	minRetryAfterWithRoom    = 20 * time.Millisecond
	retryAfterWithRoomSpread = 60 * time.Millisecond
	// maxReplayBytes is how much of a request body is kept for a retry.
	maxReplayBytes = 128 << 10
	// copyBufferBytes is the size of the buffer for streaming longer responses.
	copyBufferBytes = 32 << 10
)

// result is the outcome of one attempt.
type result struct {
	// resp is the target's response. body is its complete body, or only the beginning
	// if stream is set.
	resp    *http.Response
	body    []byte
	stream  bool
	outcome balancer.Result
	// notRun reports that the request certainly did not run.
	notRun bool
	// crashedAt is the time at which the target crashed under the request, if it did.
	crashedAt time.Time
	// limit is what the response told about the target's limit, as far as it counts.
	limit balancer.Limit
	// usable reports that resp may be passed on to the caller.
	usable  bool
	reason  string
	release func()
}

// progress is how far a request has come that got no answer yet.
type progress struct {
	// sends counts the targets that it may have reached.
	sends int
	last  *result
}

// serve sends the request to one target after another until one of them responds, the
// attempts are used up, or a retry is not safe. If this host turns out to be cut off from the
// targets, another host continues.
func (q *request) serve(ctx context.Context) {
	q.h.cfg.RetryBudget.RecordRequest(q.service, "", q.h.cfg.RetryRatio())
	var p progress
	var avoid []ids.Target
	var pickErr error
	for n := 0; n < q.maxSends; n = len(avoid) {
		if n > 0 && !p.passedOver() && !q.mayRetry(ctx) {
			break
		}
		if n > 0 && q.mayRelay() {
			q.relay(ctx, p)
			return
		}
		if err := q.checkSuspicion(ctx); err != nil {
			pickErr = err
			break
		}
		q.checkHealth(ctx, q.balancerRequest(avoid))
		choice, err := q.h.cfg.Balancer.Pick(q.balancerRequest(avoid)) // the checks took time
		if err != nil {
			pickErr = err
			break
		}
		if reason := q.mayStillSend(); reason != "" {
			choice.Done(balancer.Result{})
			p.release()
			q.giveUp(ctx, reason, retryAfterNotReady)
			return
		}
		if avoid = q.sendTo(ctx, &p, choice, avoid); p.isOver(q.route) || ctx.Err() != nil {
			break
		}
	}
	q.finish(ctx, p, pickErr)
}

// add takes in the result of a send. A target that this host is cut off from counts as not
// reached, though it may have run the request.
func (q *request) add(p *progress, res *result) {
	q.evidence.Add(res.notRun)
	if !res.notRun && res.reason != reasonLinkLost {
		p.sends++
	}
	if p.last != nil {
		q.dropBody(p.last)
		p.release()
	}
	p.last = res
}

// release ends a streamed response that is not passed on.
func (p *progress) release() {
	if p.last != nil && p.last.release != nil {
		p.last.release()
	}
}

// isOver reports whether there is a response that is not to be replaced by another one.
func (p *progress) isOver(route *router.Route) bool {
	return p.last.usable && (p.last.resp.StatusCode < http.StatusInternalServerError || !route.Kind.Idempotent())
}

// finish responds to the caller once nothing is sent any longer.
func (q *request) finish(ctx context.Context, p progress, pickErr error) {
	switch {
	case p.last != nil && p.last.usable:
		q.writeResponse(p.last)
		return
	case ctx.Err() == nil && pickErr == nil && q.mayRelay() && q.mayRetry(ctx):
		q.relay(ctx, p) // the links were found lost by the last attempt
		return
	}
	reason, wait := explain(pickErr)
	if pickErr == nil && p.last != nil && p.last.reason == "notRun" && q.h.cfg.Balancer.HasRoom(q.service) {
		wait = minRetryAfterWithRoom + rand.N(retryAfterWithRoomSpread) //nolint:gosec // not a secret
	}
	if p.last != nil && reason != reasonIsolated {
		reason = p.last.reason
	}
	q.giveUp(ctx, reason, wait)
}

// explain returns the reason and the Retry-After time for a caller for whom Pick returned
// err.
func explain(err error) (reason string, retryAfter time.Duration) {
	var busy *balancer.ErrBusy
	var limited *balancer.ErrLimited
	var suspected *errSuspected
	switch {
	case errors.As(err, &suspected):
		return suspected.reason(), suspected.retryAfter
	case errors.As(err, &busy):
		return "busy", busy.RetryAfter
	case errors.As(err, &limited):
		return "limited", limited.RetryAfter
	default:
		return "noTarget", retryAfterNoTarget
	}
}

func (q *request) balancerRequest(avoid []ids.Target) balancer.Request {
	req := balancer.Request{
		Service:     q.service,
		Class:       q.route.Name,
		Objective:   q.route.Objective,
		BodyKiB:     max(float64(q.r.ContentLength), 0) / 1024,
		HomeRegions: [][]ids.Region{q.route.HomeRegions},
		Avoid:       avoid,
		TimeLeft:    q.record.Timeout - time.Since(q.start),
		Priority:    q.route.Priority,
	}
	if q.ws != nil {
		req.HomeRegions = append(req.HomeRegions, q.ws.HomeRegions)
		if q.ws.HasPriority {
			req.Priority = q.ws.Priority
		}
	}
	if q.route.Affinity && q.info.Object != "" {
		req.Object = balancer.HashObject(q.route.Name, q.info.Object)
	}
	return req
}

// mayRetry reports whether another attempt is safe and within the retry budget.
func (q *request) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !q.body.Replayable() {
		return false
	}
	if !q.route.Kind.Idempotent() && !q.evidence.NotRun() {
		return false
	}
	return q.h.cfg.RetryBudget.AllowRetry(q.service, "")
}

// attempt sends the request to one target, reports the outcome to the balancer, and
// records the attempt.
func (q *request) attempt(ctx context.Context, c *balancer.Choice) *result {
	s, ok := q.begin(ctx, c)
	if !ok {
		return q.passOver(c)
	}
	res := q.run(s)
	q.complete(s, res)
	return res
}

// send is one send of a request to a target.
type send struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	choice *balancer.Choice
	// request is the request for the target.
	request *http.Request
	// hedge is set if another send was in progress when this one began.
	hedge bool
	start time.Time
	// answered tells the watchdog that the send has ended, and stopWatching ends its watch.
	answered     func(answered bool)
	stopWatching func()
	// releaseTarget gives back the room for the request's body at the target.
	releaseTarget func()
}

// begin prepares a send to the chosen target. It returns false if that has no room for the
// request's body.
func (q *request) begin(ctx context.Context, c *balancer.Choice) (*send, bool) {
	releaseTarget, ok := q.reserveTarget(c)
	if !ok {
		return nil, false
	}
	s := &send{choice: c, start: time.Now(), releaseTarget: releaseTarget}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.stopWatching = q.cancelIfCutOff(s.ctx, s.cancel)
	s.answered = q.h.cfg.Watchdog.Begin(c.Address)
	s.request = q.targetRequest(s.ctx, c)
	return s, true
}

// run sends and returns the result. It may run in a goroutine of its own: of the request it
// changes only the memory holding and the body's reader, which have locks.
func (q *request) run(s *send) *result {
	res := q.exchange(s.ctx, s.choice, s.request)
	s.answered(res.resp != nil)
	s.stopWatching()
	if res.reason == "brokenOff" && errors.Is(context.Cause(s.ctx), errOvertaken) {
		res.reason, res.outcome = reasonOvertaken, balancer.Result{} // the target did not fail
	}
	q.probeCrash(s.ctx, s.choice, res)
	return res
}

// complete takes in the result of a send: it reports the outcome to the balancer, and records
// the attempt.
func (q *request) complete(s *send, res *result) {
	q.confirmRefusal(s.choice, res)
	q.observeCrash(s.choice, res, s.start)
	if res.usable && res.stream {
		res.release = sync.OnceFunc(func() { s.release(res) }) // the end of the response releases too
	} else {
		s.release(res)
	}
	q.recordAttempt(s, res)
}

// release ends a send whose response is not needed any longer.
func (s *send) release(res *result) {
	s.cancel(nil)
	if res.resp != nil {
		_ = res.resp.Body.Close() // the rest is not needed
	}
	s.releaseTarget()
	s.choice.Done(res.outcome)
}

func (q *request) recordAttempt(s *send, res *result) {
	c := s.choice
	q.record.Attempts = append(q.record.Attempts, Attempt{
		Target: c.Target, Zone: c.Zone, Region: c.Region, Hedge: s.hedge, Warm: c.Warm, Backlog: c.Backlog,
		Expected: expectedTime(c), Elapsed: time.Since(s.start), Result: res.reason, Limit: res.limit,
	})
}

// writeResponse passes the response of a target or of another host on to the caller.
func (q *request) writeResponse(res *result) {
	if status := q.evidence.Status(res.resp.StatusCode); status != res.resp.StatusCode {
		if res.release != nil {
			res.release()
		}
		q.reject(&rejection{status: status, reason: res.reason})
		return
	}
	header := q.w.Header()
	for name, values := range endToEnd(res.resp.Header) {
		header[name] = slices.Clone(values)
	}
	header.Del(headerRelayRefused) // only a host says that, of itself
	q.record.Status = res.resp.StatusCode
	header.Del("Content-Length")
	switch {
	case !res.stream && q.r.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(res.body)))
	case res.resp.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	var rest *readAhead
	if res.stream {
		rest = q.readAhead(res) // the writes below may wait for a slow caller
		defer rest.stop()
	}
	q.w.WriteHeader(res.resp.StatusCode)
	_, err := q.w.Write(res.body)
	q.dropBody(res) // a long response may take long to be passed on
	if err == nil && res.stream {
		err = q.copyRest(rest)
	}
	if res.release != nil {
		res.release()
	}
	q.record.CallerGone = err != nil && q.r.Context().Err() != nil
	q.emitRecord()
	if err != nil {
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
}

// giveUp responds to a request for which no target's response can be passed on. The
// status is 503 if the request certainly did not run, or 400 if it is known to crash
// targets.
func (q *request) giveUp(ctx context.Context, reason string, wait time.Duration) {
	rej := &rejection{status: http.StatusBadGateway, reason: reason}
	notRun := q.evidence.NotRun()
	switch {
	case reason == "bodyTooLarge":
		rej.status = http.StatusRequestEntityTooLarge
	case reason == "bodyBroken":
		rej.status = http.StatusBadRequest
	case reason == reasonIsolated && notRun:
		rej.status = http.StatusBadRequest // callers do not repeat it
	case notRun:
		rej.status = http.StatusServiceUnavailable
		rej.retryAfter = wait
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		rej.status = http.StatusGatewayTimeout
	}
	q.reject(rej)
}
