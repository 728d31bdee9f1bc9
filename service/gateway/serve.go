package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// wholeBytes is the longest answer that is read whole before it is passed
	// on, so that one that breaks off can still be replaced.
	wholeBytes = 64 << 10
	// retryTarget is told where no target could take the request.
	retryTarget = 200 * time.Millisecond
	// replayBytes is how much of a body is kept for a second send.
	replayBytes = 128 << 10
	// copyBytes is the size of the buffer for longer answers.
	copyBytes = 32 << 10
)

// result is what one attempt brought.
type result struct {
	// resp is an answer that can be passed on; body is its whole body, unless
	// it is streamed.
	resp    *http.Response
	body    []byte
	stream  bool
	outcome balancer.Result
	// notRun says that the request provably did not run.
	notRun bool
	// usable says that resp may go to the caller.
	usable bool
	word   string
	close  func()
}

// serve sends the request to one target after the other until one answers.
func (q *request) serve(ctx context.Context) {
	q.h.cfg.RetryBudget.RecordRequest(q.service, "", q.h.cfg.RetryRatio())
	notRun := true
	var avoid []ids.Target
	var last *result
	var refused error
	for n := 0; n < q.route.MaxAttempts; n++ {
		if n > 0 && !q.mayRetry(ctx, notRun) {
			break
		}
		choice, err := q.h.cfg.Placer.Pick(q.want(avoid))
		if err != nil {
			refused = err
			break
		}
		if !q.stillAllowed() {
			choice.Done(balancer.Result{})
			q.giveUp(ctx, notRun, "unconfirmed", retryUnready)
			return
		}
		res := q.attempt(ctx, choice)
		avoid = append(avoid, choice.Target)
		notRun = notRun && res.notRun
		if last != nil && last.close != nil {
			last.close()
		}
		last = res
		if res.usable && (res.resp.StatusCode < http.StatusInternalServerError || !q.route.Kind.Idempotent()) {
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last != nil && last.usable {
		q.answer(last)
		return
	}
	reason := "noTarget"
	var busy *balancer.ErrBusy
	switch {
	case last != nil:
		reason = last.word
	case errors.As(refused, &busy):
		reason = "busy"
	}
	wait := retryTarget
	if errors.As(refused, &busy) {
		wait = busy.RetryAfter
	}
	q.giveUp(ctx, notRun, reason, wait)
}

func (q *request) want(avoid []ids.Target) balancer.Request {
	w := balancer.Request{
		Service:     q.service,
		Class:       q.route.Name,
		Objective:   q.route.Objective,
		BodyKiB:     max(float64(q.r.ContentLength), 0) / 1024,
		HomeRegions: [][]ids.Region{q.route.HomeRegions},
		Avoid:       avoid,
		TimeLeft:    q.record.Timeout - time.Since(q.begun),
	}
	if q.ws != nil {
		w.HomeRegions = append(w.HomeRegions, q.ws.HomeRegions)
	}
	if q.route.Affinity && q.call.Object != "" {
		w.Object = balancer.HashObject(q.route.Name, q.call.Object)
	}
	return w
}

// mayRetry reports whether another send is safe and within the budget.
func (q *request) mayRetry(ctx context.Context, notRun bool) bool {
	if ctx.Err() != nil || !q.body.Replayable() {
		return false
	}
	if !notRun && !q.route.Kind.Idempotent() {
		return false
	}
	return q.h.cfg.RetryBudget.AllowRetry(q.service, "")
}

// attempt sends the request to one target.
func (q *request) attempt(ctx context.Context, c *balancer.Choice) *result {
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	res := q.exchange(ctx, c)
	release := func() {
		cancel()
		if res.resp != nil {
			_ = res.resp.Body.Close() // What is left of it is not wanted.
		}
		c.Done(res.outcome)
	}
	if res.usable && res.stream {
		res.close = release
	} else {
		release()
	}
	q.record.Attempts = append(q.record.Attempts, Attempt{
		Target: c.Target, Zone: c.Zone, Region: c.Region, Warm: c.Warm, Backlog: c.Backlog,
		Expected: c.QueueDelay + c.ServiceTime, Elapsed: time.Since(begun), Result: res.word,
	})
	return res
}

// exchange makes the call and judges its answer.
func (q *request) exchange(ctx context.Context, c *balancer.Choice) *result {
	resp, wrote, err := q.h.cfg.Sender.Do(ctx, c.Address, q.outgoing(ctx, c)) //nolint:bodyclose // The attempt closes it.
	if err != nil {
		return q.failure(ctx, wrote)
	}
	v := q.h.cfg.HeaderCodec.ReadResponse(resp.StatusCode, resp.Header, q.call.ID)
	res := &result{resp: resp}
	res.outcome = balancer.Result{
		Load: v.Load, HasLoad: v.HasLoad, ColdTimeLeft: v.ColdFor, Leaving: v.Leaving, RetryAfter: v.RetryAfter,
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case v.IDMismatch, success && (!v.Stamped || !v.IDMatch), resp.Header.Get("Content-Encoding") != "",
		resp.StatusCode < http.StatusOK:
		res.word = "notItsAnswer"
		res.outcome.Failed = true
		breakOff(resp)
		return res
	case v.NotRun:
		res.word = "notRun"
		res.notRun = true
		res.outcome.Shed = !v.Replaced
		res.outcome.AddressReused = v.Replaced
		return res
	case isPromise(resp.StatusCode):
		// The status would promise that the request has not run.
		res.word = "promiseNotKept"
		res.outcome.Failed = true
		return res
	}
	return q.readBody(res)
}

// breaker is the body of an answer whose connection can be ended.
type breaker interface{ Break() }

// breakOff ends the connection of an answer that is not its request's: what comes next
// on it would not be either.
func breakOff(resp *http.Response) {
	if b, ok := resp.Body.(breaker); ok {
		b.Break()
	}
}

// isPromise reports whether a status says that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// readBody reads a short answer whole.
func (q *request) readBody(res *result) *result {
	res.word = "answered"
	res.outcome.Answered = res.resp.StatusCode < http.StatusInternalServerError
	res.outcome.Failed = !res.outcome.Answered
	res.usable = true
	if res.resp.ContentLength > wholeBytes {
		res.stream = true
		return res
	}
	body, err := io.ReadAll(io.LimitReader(res.resp.Body, wholeBytes+1))
	res.body = body
	res.outcome.ResponseKiB = float64(len(body)) / 1024
	switch {
	case err != nil:
		res.usable = false
		res.word = "brokenOff"
		res.outcome = balancer.Result{Failed: true, Leaving: res.outcome.Leaving, RetryAfter: res.outcome.RetryAfter}
	case len(body) > wholeBytes:
		res.stream = true
	}
	return res
}

// failure judges a send without an answer.
func (q *request) failure(ctx context.Context, wrote bool) *result {
	res := &result{notRun: !wrote, word: "noAnswer"}
	switch {
	case q.body.TooLarge():
		res.word = "bodyTooLarge"
	case q.body.Broken():
		res.word = "bodyBroken"
	case errors.Is(ctx.Err(), context.Canceled):
		res.word = "callerGone"
	case ctx.Err() != nil:
		res.word = "timeout"
		res.outcome.Failed = wrote
		res.outcome.Unreachable = !wrote
	default:
		res.outcome.Unreachable = !wrote
		res.outcome.Failed = wrote
	}
	return res
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passOn copies the fields that concern more than one connection.
func passOn(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}

// outgoing makes the request for one target.
func (q *request) outgoing(ctx context.Context, c *balancer.Choice) *http.Request {
	header := passOn(q.r.Header)
	left := q.record.Timeout - time.Since(q.begun)
	send := ForwardInfo{Target: c.Target, Timeout: left}
	if q.ws != nil {
		send.Workspace = q.ws.Name
	}
	q.h.cfg.HeaderCodec.WriteForward(header, send)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Or net/http would add its own.
	}
	u := &url.URL{Scheme: "http", Host: c.Address, Opaque: opaque(q.r.RequestURI)}
	r := &http.Request{
		Method: q.r.Method, URL: u, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: q.r.ContentLength,
	}
	if q.r.ContentLength != 0 {
		r.Body = q.body.NewReader()
	} else if !q.route.Kind.Idempotent() {
		// A body of its own keeps net/http from repeating the request by itself.
		r.Body = q.body.NewReader()
	}
	return r.WithContext(ctx)
}

// opaque returns a request's path and query as they came.
func opaque(uri string) string {
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	if u, err := url.ParseRequestURI(uri); err == nil {
		return u.RequestURI()
	}
	return "/"
}

// answer passes a target's answer on.
func (q *request) answer(res *result) {
	head := q.w.Header()
	for name, values := range passOn(res.resp.Header) {
		head[name] = slices.Clone(values)
	}
	if q.h.leaving.Load() {
		head.Set("Connection", "close")
	}
	q.record.Status = res.resp.StatusCode
	head.Del("Content-Length")
	switch {
	case !res.stream && q.r.Method != http.MethodHead:
		head.Set("Content-Length", strconv.Itoa(len(res.body)))
	case res.resp.ContentLength >= 0:
		head.Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	q.w.WriteHeader(res.resp.StatusCode)
	_, err := q.w.Write(res.body)
	if err == nil && res.stream {
		err = q.stream(res)
	}
	if res.close != nil {
		res.close()
	}
	q.record.CallerGone = err != nil && q.r.Context().Err() != nil
	q.tell()
	if err != nil {
		panic(http.ErrAbortHandler) // A short answer must not look whole.
	}
}

// stream copies the rest of a long answer.
func (q *request) stream(res *result) error {
	buf := make([]byte, copyBytes)
	for {
		n, err := res.resp.Body.Read(buf)
		if n > 0 {
			if _, werr := q.w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// giveUp answers a request that no target answered.
func (q *request) giveUp(ctx context.Context, notRun bool, reason string, wait time.Duration) {
	rf := &rejection{status: http.StatusBadGateway, reason: reason}
	switch {
	case reason == "bodyTooLarge":
		rf.status = http.StatusRequestEntityTooLarge
	case reason == "bodyBroken":
		rf.status = http.StatusBadRequest
	case notRun:
		rf.status = http.StatusServiceUnavailable
		rf.retryAfter = wait
	case ctx.Err() != nil:
		rf.status = http.StatusGatewayTimeout
	}
	q.refuse(rf)
}
