package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Values of Record.Hedge.
const (
	// HedgeWon means that the response to the second send was passed on, and HedgeLost that
	// the request was sent a second time in vain.
	HedgeWon  = "won"
	HedgeLost = "lost"
	// HedgeDenied means that the first target was slow but the request was not sent to a
	// second one.
	HedgeDenied = "denied"
)

// Reasons for which a request is not sent to a second target, in Record.HedgeReason.
const (
	// deniedAttempts means that the request may be sent only once.
	deniedAttempts = "attempts"
	// deniedRoom means that the service lacks room.
	deniedRoom = "room"
	// deniedShare and deniedBudget mean that the share of hedges and the retry budget are
	// used up.
	deniedShare  = "share"
	deniedBudget = "budget"
	// deniedTime means that too little time is left, or that the second target is expected to
	// take more than maxHedgeFactor times as long as the first one.
	deniedTime = "time"
	// deniedTarget means that there is no second target that may get the request.
	deniedTarget = "noTarget"
)

// maxHedgeFactor bounds the expected time of a hedge, as a multiple of that of the first send. A target
// without the object seldom overtakes one that has it.
const maxHedgeFactor = 2

// reasonOvertaken is the reason of a send that was cancelled because another one was answered
// first.
const reasonOvertaken = "overtaken"

// errOvertaken is the cause that ends such a send.
var errOvertaken = errors.New("another send of the request was answered first")

// ended is a send that has ended, with its result.
type ended struct {
	*send
	res *result
}

// sendTo sends the request to the chosen target, and if that is slow also to another one. It
// adds the results to p, and returns avoid with the targets that were tried.
func (q *request) sendTo(ctx context.Context, p *progress, c *balancer.Choice, avoid []ids.Target) []ids.Target {
	first := len(avoid) == 0
	avoid = append(avoid, c.Target)
	hedger := q.h.cfg.Hedger
	if hedger == nil || !first {
		q.add(p, q.attempt(ctx, c))
		return avoid
	}
	hedger.RecordRequest(q.service)
	if !q.route.Kind.Idempotent() {
		q.add(p, q.attempt(ctx, c))
		return avoid
	}
	if delay, ok := hedger.Delay(q.route.Name, expectedTime(c)); ok {
		return q.sendHedged(ctx, p, c, delay, avoid)
	}
	if s, ok := q.begin(ctx, c); ok {
		q.take(p, ended{s, q.run(s)})
	} else {
		q.add(p, q.passOver(c))
	}
	return avoid
}

// sendHedged is sendTo for a request that is sent to another target if the first one does not
// respond within delay. The sends are in goroutines of their own; their results are taken in
// here, by the goroutine that serves the request.
func (q *request) sendHedged(ctx context.Context, p *progress, c *balancer.Choice, delay time.Duration, avoid []ids.Target) []ids.Target {
	results := make(chan ended, 2)
	first, ok := q.begin(ctx, c)
	if !ok {
		q.add(p, q.passOver(c))
		return avoid
	}
	go func() { results <- ended{first, q.run(first)} }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case e := <-results:
		q.take(p, e)
		return avoid
	case <-timer.C:
	}
	other, denied := q.pickHedge(ctx, c, avoid)
	if denied != "" {
		q.record.Hedge, q.record.HedgeReason = HedgeDenied, denied
	}
	if other == nil {
		q.take(p, <-results)
		return avoid
	}
	second, ok := q.begin(ctx, other)
	if !ok {
		q.passOver(other)
		q.take(p, <-results)
		return append(avoid, other.Target)
	}
	second.hedge = true
	go func() { results <- ended{second, q.run(second)} }()
	q.takeFirst(p, first, second, results)
	return append(avoid, other.Target)
}

// takeFirst takes in the results of two sends. As soon as one of them has an answer, the other
// one is cancelled. Otherwise it waits for both, so that all is known of them.
func (q *request) takeFirst(p *progress, first, second *send, results <-chan ended) {
	q.record.Hedge = HedgeLost
	winner := <-results
	if !winner.res.isAnswer() {
		q.take(p, winner)
		winner = <-results
	} else {
		loser := first
		if winner.send == first {
			loser = second
		}
		q.overtake(p, loser, results)
	}
	q.take(p, winner)
	if winner.hedge && winner.res.isAnswer() {
		q.record.Hedge = HedgeWon
	}
}

// overtake cancels a send because the other one was answered. It does not wait for its end.
func (q *request) overtake(p *progress, loser *send, results <-chan ended) {
	select {
	case e := <-results: // it has just ended
		q.take(p, e)
		return
	default:
	}
	loser.cancel(errOvertaken)
	go func() {
		e := <-results
		e.release(e.res)
	}()
	res := &result{reason: reasonOvertaken}
	q.recordAttempt(loser, res)
	q.observeTime(loser, res)
	q.add(p, res)
}

// take takes in the result of a send.
func (q *request) take(p *progress, e ended) {
	q.observeTime(e.send, e.res)
	q.complete(e.send, e.res)
	q.add(p, e.res)
}

// observeTime records the response time of the first send of the request. One that is overtaken
// or ends at the deadline took at least as long as it was waited for; if these were left out,
// the delay would shrink with each hedge. Second sends are left out, as slow requests alone have
// them.
func (q *request) observeTime(s *send, res *result) {
	if !s.hedge && (res.isAnswer() || res.reason == reasonOvertaken || res.reason == "timeout") {
		q.h.cfg.Hedger.Observe(q.route.Name, time.Since(s.start), expectedTime(s.choice))
	}
}

// isAnswer reports whether the response to an idempotent request is not to be replaced by
// another one.
func (res *result) isAnswer() bool {
	return res.usable && res.resp.StatusCode < http.StatusInternalServerError
}

// pickHedge selects a second target for a request that is in progress at the first one. If there
// is none, it returns the reason, which is empty if the request may not be hedged at all.
func (q *request) pickHedge(ctx context.Context, first *balancer.Choice, avoid []ids.Target) (c *balancer.Choice, denied string) {
	cfg := &q.h.cfg
	switch {
	case !q.mayHedge(ctx):
		return nil, ""
	case len(avoid) >= q.maxSends:
		return nil, deniedAttempts
	case q.endsLate(first):
		return nil, deniedTime
	case !cfg.Balancer.HasRoom(q.service):
		return nil, deniedRoom
	}
	wanted := q.balancerRequest(avoid)
	wanted.MaxExpected = min(maxHedgeFactor*expectedTime(first), wanted.TimeLeft)
	c, err := cfg.Balancer.Pick(wanted)
	var busy *balancer.ErrBusy
	switch {
	case errors.As(err, &busy):
		return nil, deniedTime
	case err != nil:
		return nil, deniedTarget
	case !cfg.Hedger.Allow(q.service):
		denied = deniedShare
	case !cfg.RetryBudget.AllowRetry(q.service, ""):
		denied = deniedBudget
	default:
		return c, ""
	}
	c.Done(balancer.Result{})
	return nil, denied
}

// mayHedge reports whether the request may be in progress at two targets: it may still be sent,
// targets do not crash under it, and both can get its body without waiting for the caller.
func (q *request) mayHedge(ctx context.Context) bool {
	if ctx.Err() != nil || q.h.cfg.Watchdog.CutOff() || q.mayStillSend() != "" {
		return false
	}
	if s := q.h.cfg.Isolator; !s.Empty() && s.Suspects(q.headHash()) {
		return false
	}
	return !q.hasBody() || q.body.Whole()
}

// expectedTime returns the time in which a send to a target is expected to end.
func expectedTime(c *balancer.Choice) time.Duration { return c.QueueDelay + c.ServiceTime }

// endsLate reports whether a send to a target is not expected to end before the deadline.
func (q *request) endsLate(c *balancer.Choice) bool {
	return expectedTime(c) >= q.record.Timeout-time.Since(q.start)
}
