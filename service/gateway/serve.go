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
	// maxBufferedBytes is the longest response body that is read completely before it
	// is passed on, so that the request can be retried if the response is truncated.
	maxBufferedBytes = 64 << 10
	// retryAfterNoTarget is the Retry-After time if no target could take the request.
	retryAfterNoTarget = 200 * time.Millisecond
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
	// limit is what the response told about the target's limit, as far as it counts.
	limit balancer.Limit
	// usable reports that resp may be passed on to the caller.
	usable  bool
	reason  string
	release func()
}

// serve sends the request to one target after another until one of them responds, the
// attempts are used up, or a retry is not safe.
func (q *request) serve(ctx context.Context) {
	q.h.cfg.RetryBudget.RecordRequest(q.service, "", q.h.cfg.RetryRatio())
	notRun := true
	var avoid []ids.Target
	var last *result
	var pickErr error
	for n := 0; n < q.route.MaxAttempts; n++ {
		if n > 0 && !q.mayRetry(ctx, notRun) {
			break
		}
		if err := q.checkSuspicion(ctx); err != nil {
			pickErr = err
			break
		}
		choice, err := q.h.cfg.Balancer.Pick(q.balancerRequest(avoid))
		if err != nil {
			pickErr = err
			break
		}
		if !q.stillAuthorised() {
			choice.Done(balancer.Result{})
			q.giveUp(ctx, notRun, "unconfirmed", retryAfterNotReady)
			return
		}
		res := q.attempt(ctx, choice)
		avoid = append(avoid, choice.Target)
		notRun = notRun && res.notRun
		if last != nil && last.release != nil {
			last.release()
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
		q.writeResponse(last)
		return
	}
	reason, wait := explain(pickErr)
	if last != nil && reason != reasonIsolated {
		reason = last.reason
	}
	q.giveUp(ctx, notRun, reason, wait)
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
	}
	if q.ws != nil {
		req.HomeRegions = append(req.HomeRegions, q.ws.HomeRegions)
	}
	if q.route.Affinity && q.info.Object != "" {
		req.Object = balancer.HashObject(q.route.Name, q.info.Object)
	}
	return req
}

// mayRetry reports whether another attempt is safe and within the retry budget.
func (q *request) mayRetry(ctx context.Context, notRun bool) bool {
	if ctx.Err() != nil || !q.body.Replayable() {
		return false
	}
	if !notRun && !q.route.Kind.Idempotent() {
		return false
	}
	return q.h.cfg.RetryBudget.AllowRetry(q.service, "")
}

// attempt sends the request to one target, reports the outcome to the balancer, and
// records the attempt.
func (q *request) attempt(ctx context.Context, c *balancer.Choice) *result {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	res := q.exchange(ctx, c)
	q.observeCrash(ctx, c, res, start)
	release := func() {
		cancel()
		if res.resp != nil {
			_ = res.resp.Body.Close() // the rest is not needed
		}
		c.Done(res.outcome)
	}
	if res.usable && res.stream {
		res.release = release
	} else {
		release()
	}
	q.record.Attempts = append(q.record.Attempts, Attempt{
		Target: c.Target, Zone: c.Zone, Region: c.Region, Warm: c.Warm, Backlog: c.Backlog,
		Expected: c.QueueDelay + c.ServiceTime, Elapsed: time.Since(start), Result: res.reason, Limit: res.limit,
	})
	return res
}

// exchange sends the request and classifies the response. A response is passed on only
// if it provably belongs to this request: a successful one needs the target's stamp and
// this request's ID.
func (q *request) exchange(ctx context.Context, c *balancer.Choice) *result {
	resp, wrote, err := q.h.cfg.Sender.Do(ctx, c.Address, q.targetRequest(ctx, c)) //nolint:bodyclose // attempt closes the body
	if err != nil {
		return q.failure(ctx, wrote)
	}
	info := q.h.cfg.HeaderCodec.ReadResponse(resp.StatusCode, resp.Header, q.info.ID)
	res := &result{resp: resp, limit: c.ObserveLimit(info.Limit)}
	res.outcome = balancer.Result{
		Load: info.Load, HasLoad: info.HasLoad, ColdTimeLeft: info.ColdTimeLeft, Leaving: info.Leaving, RetryAfter: info.RetryAfter,
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case info.IDMismatch, success && (!info.Stamped || !info.IDMatch), resp.Header.Get("Content-Encoding") != "",
		resp.StatusCode < http.StatusOK:
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
	case info.NotRun:
		res.reason = "notRun"
		res.notRun = true
		res.outcome.Shed = !info.AddressReused
		res.outcome.AddressReused = info.AddressReused
		return res
	case impliesNotRun(resp.StatusCode):
		// The status would tell the caller that the request did not run, but the target
		// did not say so.
		res.reason = "promiseNotKept"
		res.outcome.Failed = true
		return res
	}
	return q.readBody(res)
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

// impliesNotRun reports whether a status tells the caller that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// readBody reads the body of a response of up to maxBufferedBytes; longer ones are
// streamed.
func (q *request) readBody(res *result) *result {
	res.reason = "answered"
	res.outcome.Answered = res.resp.StatusCode < http.StatusInternalServerError
	res.outcome.Failed = !res.outcome.Answered
	res.usable = true
	if res.resp.ContentLength > maxBufferedBytes {
		res.stream = true
		return res
	}
	body, err := io.ReadAll(io.LimitReader(res.resp.Body, maxBufferedBytes+1))
	res.body = body
	res.outcome.ResponseKiB = float64(len(body)) / 1024
	switch {
	case err != nil:
		res.usable = false
		res.reason = "brokenOff"
		res.outcome = balancer.Result{Failed: true, Leaving: res.outcome.Leaving, RetryAfter: res.outcome.RetryAfter}
	case len(body) > maxBufferedBytes:
		res.stream = true
	}
	return res
}

// failure classifies an attempt that got no response.
func (q *request) failure(ctx context.Context, wrote bool) *result {
	res := &result{notRun: !wrote, reason: "noAnswer"}
	switch {
	case q.body.TooLarge():
		res.reason = "bodyTooLarge"
	case q.body.Broken():
		res.reason = "bodyBroken"
	case errors.Is(ctx.Err(), context.Canceled):
		res.reason = "callerGone"
	case ctx.Err() != nil:
		res.reason = "timeout"
		res.outcome.Failed = wrote
		res.outcome.Unreachable = !wrote
	default:
		res.outcome.Unreachable = !wrote
		res.outcome.Failed = wrote
	}
	return res
}

// hopByHop lists the header fields that apply to one connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of a header without its hop-by-hop fields.
func endToEnd(src http.Header) http.Header {
	h := src.Clone()
	for _, list := range src.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}

// targetRequest returns the request to send to one target.
func (q *request) targetRequest(ctx context.Context, c *balancer.Choice) *http.Request {
	header := endToEnd(q.r.Header)
	remaining := q.record.Timeout - time.Since(q.start)
	info := ForwardInfo{Target: c.Target, Timeout: remaining}
	if q.ws != nil {
		info.Workspace = q.ws.Name
	}
	q.h.cfg.HeaderCodec.WriteForward(header, info)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	u := &url.URL{Scheme: "http", Host: c.Address, Opaque: requestTarget(q.r.RequestURI)}
	r := &http.Request{
		Method: q.r.Method, URL: u, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: q.r.ContentLength,
	}
	if q.r.ContentLength != 0 {
		r.Body = q.body.NewReader()
	} else if !q.route.Kind.Idempotent() {
		// A non-nil body keeps net/http from retrying the request by itself.
		r.Body = q.body.NewReader()
	}
	return r.WithContext(ctx)
}

// requestTarget returns a request's path and query as the caller sent them.
func requestTarget(uri string) string {
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	if u, err := url.ParseRequestURI(uri); err == nil {
		return u.RequestURI()
	}
	return "/"
}

// writeResponse passes a target's response on to the caller.
func (q *request) writeResponse(res *result) {
	header := q.w.Header()
	for name, values := range endToEnd(res.resp.Header) {
		header[name] = slices.Clone(values)
	}
	if q.h.closeConns.Load() {
		header.Set("Connection", "close")
	}
	q.record.Status = res.resp.StatusCode
	header.Del("Content-Length")
	switch {
	case !res.stream && q.r.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(res.body)))
	case res.resp.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	q.w.WriteHeader(res.resp.StatusCode)
	_, err := q.w.Write(res.body)
	if err == nil && res.stream {
		err = q.copyRest(res)
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

// copyRest copies the rest of a long response body to the caller.
func (q *request) copyRest(res *result) error {
	buf := make([]byte, copyBufferBytes)
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

// giveUp responds to a request for which no target's response can be passed on. The
// status is 503 if the request certainly did not run, or 400 if it is known to crash
// targets.
func (q *request) giveUp(ctx context.Context, notRun bool, reason string, wait time.Duration) {
	rej := &rejection{status: http.StatusBadGateway, reason: reason}
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
	case ctx.Err() != nil:
		rej.status = http.StatusGatewayTimeout
	}
	q.reject(rej)
}
