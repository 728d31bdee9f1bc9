package gateway

import (
	"context"
	"errors"
	"net/http"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
)

// maxBufferedBytes is the longest response body that is read completely before it
// is passed on, so that the request can be retried if the response is truncated.
// maxPipelinedBytes is the same for a response behind which others are due, which would be lost
// with it.
const (
	maxBufferedBytes  = 64 << 10
	maxPipelinedBytes = 1 << 20
)

// exchange sends r to a target and classifies the response. A response is passed on only
// if it provably belongs to this request: a successful one needs the target's stamp and
// this request's ID. It may run in a goroutine of its own.
func (q *request) exchange(ctx context.Context, c *balancer.Choice, r *http.Request) *result {
	resp, wrote, err := q.h.cfg.Sender.Do(ctx, c.Address, r) //nolint:bodyclose // send.release closes the body
	if err != nil {
		return q.failure(ctx, wrote)
	}
	info := q.h.cfg.HeaderCodec.ReadResponse(resp.StatusCode, resp.Header, q.info.ID)
	res := &result{resp: resp, limit: c.ObserveLimit(info.Limit)}
	res.outcome = balancer.Result{LoadReport: info.LoadReport, Leaving: info.Leaving, RetryAfter: info.RetryAfter}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case info.IDMismatch, success && (!info.Stamped || !info.IDMatch), resp.Header.Get("Content-Encoding") != "",
		!isFinal(resp.StatusCode):
		res.reason = "notItsAnswer"
		res.outcome.Failed = true
		closeConnection(resp)
		return res
	case info.NotRun && !info.IDMatch:
		// It may be an earlier response, written once more on this connection.
		res.reason = "notItsAnswer"
		res.outcome = balancer.Result{Failed: true}
		closeConnection(resp)
		return res
	case info.NotRun: // complete decides whether that may be believed
		res.reason = "notRun"
		res.notRun = true
		res.outcome.Shed = !info.AddressReused
		res.outcome.AddressReused = info.AddressReused
		return res
	case attestor.PromisesNotRun(resp.StatusCode):
		// The status would tell the caller that the request did not run, but the target
		// did not say so.
		res.reason = "promiseNotKept"
		res.outcome.Failed = true
		return res
	}
	return q.readBody(res)
}

// maxFinalStatus is the highest valid status of a response.
const maxFinalStatus = 599

// isFinal reports whether a status is a valid one of a final response. net/http also accepts
// 000, and signs in place of digits.
func isFinal(status int) bool { return status >= http.StatusOK && status <= maxFinalStatus }

// confirmRefusal checks a target's statement that it did not run the request, which may be the
// response to a copy of it, written once more.
func (q *request) confirmRefusal(c *balancer.Choice, res *result) {
	if res.resp == nil || !res.notRun || q.evidence.Believe(c.Address) {
		return
	}
	res.reason, res.notRun = "repeatedRefusal", false
	res.outcome = balancer.Result{Failed: true}
	closeConnection(res.resp)
}

// connCloser is a response body that can close its connection.
type connCloser interface{ CloseConnection() }

// closeConnection closes the connection of a response that belongs to another request,
// as later responses on it would be mismatched too.
func closeConnection(resp *http.Response) {
	if b, ok := resp.Body.(connCloser); ok {
		b.CloseConnection()
	}
}

// readBody reads the body of a response of up to maxBufferedBytes, or up to maxPipelinedBytes;
// longer ones, and those that the host has no memory for, are streamed.
func (q *request) readBody(res *result) *result {
	res.reason = "answered"
	res.outcome.Answered = res.resp.StatusCode < http.StatusInternalServerError
	res.outcome.Failed = !res.outcome.Answered
	res.usable = true
	more, err := q.buffer(res)
	res.outcome.ResponseKiB = float64(len(res.body)) / 1024
	switch {
	case err != nil:
		res.usable = false
		res.reason = "brokenOff"
		res.outcome = balancer.Result{Failed: true, Leaving: res.outcome.Leaving, RetryAfter: res.outcome.RetryAfter}
	case more:
		res.stream = true
	}
	return res
}

// buffer reads as much of a response as is kept before it is passed on. It returns more if that is
// not all.
func (q *request) buffer(res *result) (more bool, err error) {
	if res.resp.ContentLength <= maxBufferedBytes {
		if more, err = q.bufferBody(res, maxBufferedBytes); !more {
			return false, err
		}
	}
	return q.bufferPipelined(res)
}

// failure classifies an attempt that got no response.
func (q *request) failure(ctx context.Context, wrote bool) *result {
	res := &result{notRun: !wrote, reason: "noAnswer"}
	switch {
	case q.body.TooLarge():
		res.reason = "bodyTooLarge"
	case q.body.Broken():
		res.reason = "bodyBroken"
	case errors.Is(context.Cause(ctx), errLinkLost):
		res.reason = reasonLinkLost
	case errors.Is(context.Cause(ctx), errOvertaken):
		res.reason = reasonOvertaken
	case errors.Is(context.Cause(ctx), context.Canceled):
		res.reason = "callerGone"
	case errors.Is(ctx.Err(), context.Canceled):
		res.reason = reasonLeaving
	case ctx.Err() != nil:
		res.reason = "timeout"
		res.outcome.Failed = wrote
		res.outcome.Unreachable = !wrote
	default:
		res.outcome.Unreachable = !wrote
		res.outcome.Failed = wrote
		if !wrote {
			res.reason = "unreachable"
		}
	}
	return res
}
