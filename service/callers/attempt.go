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

// attempt sends the request to one target.
func (t *trial) attempt(ctx context.Context) (*Response, *refusal.Refusal) {
	begun := time.Now()
	want := SlotRequest{Service: t.f.Service, Workspace: t.f.Workspace, Avoid: t.avoid}
	slot, err := t.h.cfg.Dispatcher.Acquire(ctx, want)
	t.waited += time.Since(begun)
	if err != nil {
		return nil, asRefusal(err)
	}
	if rf := t.stop(ctx); rf != nil {
		slot.Release(AttemptResult{Cancelled: true}) // Nothing was sent.
		return nil, rf
	}
	ctx, cancel := context.WithCancel(ctx)
	sent := time.Now()
	resp, wrote, err := t.h.cfg.Sender.Do(ctx, slot.Address(), t.request(ctx, slot))
	res := AttemptResult{Connected: wrote || err == nil, Elapsed: time.Since(sent)}
	if err != nil {
		rf := t.failure(ctx, wrote)
		res.Cancelled = ctx.Err() != nil
		cancel()
		slot.Release(res)
		t.avoid = append(t.avoid, slot.Target())
		return nil, rf
	}
	res.Status = resp.StatusCode
	res.Leaving = resp.Header.Get(HeaderLeaving) != ""
	res.Shed = shed(resp)
	if rf := refusalOf(resp, t.f.Method); rf != nil {
		_ = resp.Body.Close() // Nothing of it is used.
		cancel()
		slot.Release(res)
		t.avoid = append(t.avoid, slot.Target())
		return nil, rf
	}
	return t.answer(resp, slot, res, cancel), nil
}

// stop says why the request may no longer be sent, or nothing.
func (t *trial) stop(ctx context.Context) *refusal.Refusal {
	if err := ctx.Err(); err != nil {
		return ended(err, refusal.NotRun)
	}
	if rf := t.h.cfg.Lease.Check(); rf != nil {
		return rf
	}
	if t.f.allowed != nil {
		return t.f.allowed()
	}
	return nil
}

// request makes the request for one target.
func (t *trial) request(ctx context.Context, slot Slot) *http.Request {
	u := &url.URL{
		Scheme: "http", Host: slot.Address(),
		Path: t.url.Path, RawPath: t.url.RawPath, RawQuery: t.url.RawQuery, ForceQuery: t.url.ForceQuery,
	}
	header := t.f.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if t.f.Workspace != "" {
		header.Set(HeaderWorkspace, string(t.f.Workspace))
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Or net/http would add its own.
	}
	r := &http.Request{
		Method: t.f.Method, URL: u, Host: u.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: t.f.ContentLength, Trailer: t.f.Trailer,
	}
	switch {
	case t.f.ContentLength != 0:
		r.Body = t.body.NewReader()
	case !t.f.Idempotent:
		// net/http repeats requests by itself if they have no body and carry an
		// idempotency key. A body of its own keeps it from that.
		r.Body = t.body.NewReader()
	}
	return r.WithContext(ctx)
}

// failure returns the refusal of an attempt without an answer.
func (t *trial) failure(ctx context.Context, wrote bool) *refusal.Refusal {
	outcome := refusal.NotRun
	if wrote {
		outcome = refusal.Unknown
	}
	if t.body.TooLarge() {
		return bodyTooLarge(outcome)
	}
	if err := ctx.Err(); err != nil {
		return ended(err, outcome)
	}
	return &refusal.Refusal{
		Status:     http.StatusBadGateway,
		Code:       refusal.CodeTargetFailed,
		Outcome:    outcome,
		Detail:     "the target gave no answer",
		RetryAfter: retryTarget,
	}
}

// shed reports whether the target said that it did not run the request.
func shed(resp *http.Response) bool {
	overloaded := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return overloaded && resp.Header.Get(HeaderShed) == "1"
}

// refusalOf returns the refusal that stands for an answer that cannot be passed
// on, or nothing.
func refusalOf(resp *http.Response, method string) *refusal.Refusal {
	switch {
	case shed(resp):
		wait := retryTarget
		if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
			wait = time.Duration(seconds) * time.Second
		}
		return refusal.Unavailable(refusal.CodeTargetShed, "the target shed the request", wait)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return unusable(refusal.Unknown, "the target changed the protocol without being asked to")
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead:
		return unusable(refusal.Ran, "the target's answer does not say where it ends")
	default:
		return nil
	}
}

// unusable returns the refusal for an answer that breaks the protocol. Asking
// again would bring the same.
func unusable(outcome refusal.Outcome, detail string) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusBadGateway, Code: refusal.CodeTargetAnswer, Outcome: outcome, Detail: detail}
}

// answer makes an Answer that holds the slot until its body has ended.
func (t *trial) answer(resp *http.Response, slot Slot, res AttemptResult, cancel context.CancelFunc) *Response {
	a := &Response{
		Status:        resp.StatusCode,
		Header:        sanitizer.Sanitizer{}.Answer(resp.Header),
		Trailer:       resp.Trailer,
		ContentLength: resp.ContentLength,
		Outcome:       refusal.Ran,
		Target:        slot.Target(),
		Region:        t.h.cfg.Region,
		TargetLatency: res.Elapsed,
	}
	a.Body = &closeBody{ReadCloser: resp.Body, after: func() {
		cancel()
		slot.Release(res)
	}}
	return a
}

// closeBody runs after once, when the body has ended or was closed.
type closeBody struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Read implements io.Reader.
func (b *closeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(b.after)
	}
	return n, err
}

// Close implements io.Closer.
func (b *closeBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.after)
	return err
}
