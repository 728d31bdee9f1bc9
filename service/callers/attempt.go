package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/sanitizer"
)

// attempt acquires a slot and sends the request to its target.
func (l *retryLoop) attempt(ctx context.Context) (*Response, *refusal.Refusal) {
	start := time.Now()
	slotReq := SlotRequest{Service: l.req.Service, Workspace: l.req.Workspace, Avoid: l.avoid}
	slot, err := l.h.cfg.Dispatcher.Acquire(ctx, slotReq)
	l.waited += time.Since(start)
	if err != nil {
		return nil, asRefusal(err)
	}
	if rf := l.checkStillAllowed(ctx); rf != nil {
		slot.Release(AttemptResult{Cancelled: true}) // nothing was sent
		return nil, rf
	}
	ctx, cancel := context.WithCancel(ctx)
	sent := time.Now()
	resp, wrote, err := l.h.cfg.Sender.Do(ctx, slot.Address(), l.targetRequest(ctx, slot))
	res := AttemptResult{Connected: wrote || err == nil, Elapsed: time.Since(sent)}
	if err != nil {
		rf := l.failure(ctx, wrote)
		res.Cancelled = ctx.Err() != nil
		cancel()
		slot.Release(res)
		l.avoid = append(l.avoid, slot.Target())
		return nil, rf
	}
	res.Status = resp.StatusCode
	res.Leaving = resp.Header.Get(HeaderLeaving) != ""
	res.Shed = wasShed(resp)
	if rf := refusalOf(resp, l.req.Method); rf != nil {
		_ = resp.Body.Close() // the body is not used
		cancel()
		slot.Release(res)
		l.avoid = append(l.avoid, slot.Target())
		return nil, rf
	}
	return l.newResponse(resp, slot, res, cancel), nil
}

// checkStillAllowed returns a refusal if the request may no longer be sent after the
// wait for a slot.
func (l *retryLoop) checkStillAllowed(ctx context.Context) *refusal.Refusal {
	if err := ctx.Err(); err != nil {
		return contextRefusal(err, refusal.NotRun)
	}
	if rf := l.h.cfg.Lease.Check(); rf != nil {
		return rf
	}
	if l.req.allowed != nil {
		return l.req.allowed()
	}
	return nil
}

// targetRequest returns the request to send to the target of a slot.
func (l *retryLoop) targetRequest(ctx context.Context, slot Slot) *http.Request {
	u := &url.URL{
		Scheme: "http", Host: slot.Address(),
		Path: l.url.Path, RawPath: l.url.RawPath, RawQuery: l.url.RawQuery, ForceQuery: l.url.ForceQuery,
	}
	header := l.req.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if l.req.Workspace != "" {
		header.Set(HeaderWorkspace, string(l.req.Workspace))
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	r := &http.Request{
		Method: l.req.Method, URL: u, Host: u.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: l.req.ContentLength, Trailer: l.req.Trailer,
	}
	switch {
	case l.req.ContentLength != 0:
		r.Body = l.body.NewReader()
	case !l.req.Idempotent:
		// net/http retries a request by itself if it has no body and an idempotency
		// key. A non-nil body prevents that.
		r.Body = l.body.NewReader()
	}
	return r.WithContext(ctx)
}

// failure returns the refusal for an attempt that got no response.
func (l *retryLoop) failure(ctx context.Context, wrote bool) *refusal.Refusal {
	outcome := refusal.NotRun
	if wrote {
		outcome = refusal.Unknown
	}
	if l.body.TooLarge() {
		return bodyTooLarge(outcome)
	}
	if err := ctx.Err(); err != nil {
		return contextRefusal(err, outcome)
	}
	return &refusal.Refusal{
		Status:     http.StatusBadGateway,
		Code:       refusal.CodeTargetFailed,
		Outcome:    outcome,
		Detail:     "the target gave no answer",
		RetryAfter: defaultRetryAfter,
	}
}

// wasShed reports whether the target shed the request without running it.
func wasShed(resp *http.Response) bool {
	overloaded := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return overloaded && resp.Header.Get(HeaderShed) == "1"
}

// maxFinalStatus is the highest valid status of a response.
const maxFinalStatus = 599

// refusalOf returns the refusal for a response that cannot be passed on, or nil.
func refusalOf(resp *http.Response, method string) *refusal.Refusal {
	switch {
	case wasShed(resp):
		wait := defaultRetryAfter
		if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
			wait = time.Duration(seconds) * time.Second
		}
		return refusal.Unavailable(refusal.CodeTargetShed, "the target shed the request", wait)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return unusable(refusal.Unknown, "the target changed the protocol without being asked to")
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxFinalStatus:
		return unusable(refusal.Unknown, "the target's answer has no valid status")
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead:
		return unusable(refusal.Ran, "the target's answer does not say where it ends")
	default:
		return nil
	}
}

// unusable returns the refusal for a response that violates the protocol. It has no
// RetryAfter, as a retry would get the same response.
func unusable(outcome refusal.Outcome, detail string) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusBadGateway, Code: refusal.CodeTargetAnswerInvalid, Outcome: outcome, Detail: detail}
}

// newResponse returns a Response that holds the slot until its body has ended or is
// closed.
func (l *retryLoop) newResponse(resp *http.Response, slot Slot, res AttemptResult, cancel context.CancelFunc) *Response {
	out := &Response{
		Status:        resp.StatusCode,
		Header:        sanitizer.Sanitizer{}.ResponseHeader(resp.Header),
		Trailer:       resp.Trailer,
		ContentLength: resp.ContentLength,
		Outcome:       refusal.Ran,
		Target:        slot.Target(),
		Region:        l.h.cfg.Region,
		TargetLatency: res.Elapsed,
	}
	out.Body = &closeBody{ReadCloser: resp.Body, onEnd: func() {
		cancel()
		slot.Release(res)
	}}
	return out
}

// closeBody calls onEnd once, when the body has ended or is closed.
type closeBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func()
}

// Read implements io.Reader.
func (b *closeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(b.onEnd)
	}
	return n, err
}

// Close implements io.Closer.
func (b *closeBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onEnd)
	return err
}
