package callers

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// serveRequest forwards a caller's request and writes the response.
func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	rc := http.NewResponseController(w)
	body := &callerBody{ReadCloser: r.Body, rc: rc}
	if r.ContentLength == 0 {
		body.ended.Store(true)
	} else {
		r.Body = body
	}
	in, rf := h.prepare(r)
	if rf != nil {
		finish := prepareRefusal(w, r, body)
		h.writeRefusal(w, in, h.withInboundOutcome(in, rf), start)
		finish()
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), in.timeout)
	defer cancel()
	body.deadline, _ = ctx.Deadline()
	resp, err := h.run(ctx, in)
	if err != nil {
		finish := prepareRefusal(w, r, body)
		h.writeRefusal(w, in, asRefusal(err), start)
		finish()
		return
	}
	defer func() { _ = resp.Body.Close() }() // it has ended, or the rest is not needed
	enableFullDuplex(w, body)
	complete := writeResponse(w, rc, resp, body.deadline)
	h.record(in, Record{
		Region: resp.Region, Target: resp.Target, Outcome: resp.Outcome, Status: resp.Status,
		TargetLatency: resp.TargetLatency, Waited: resp.Waited,
	}, start)
	if !complete {
		// Abort the connection, so that a truncated response never looks complete.
		panic(http.ErrAbortHandler)
	}
}

// prepareRefusal handles the unread rest of a refused request's body, and returns a
// function to call after the refusal is written. net/http reads a short rest before it
// writes the response, so that the connection can be kept.
func prepareRefusal(w http.ResponseWriter, r *http.Request, body *callerBody) func() {
	switch {
	case body.ended.Load():
		return func() {}
	case body.broken.Load():
		// The next request could not be told apart from the rest of the broken body.
		w.Header().Set("Connection", "close")
		return func() {}
	case !r.Close && r.ContentLength > 0 && r.ContentLength <= maxDrainBytes, r.Header.Get("Expect") != "":
		_ = body.rc.SetReadDeadline(time.Now().Add(bodyDrainTimeout)) // without deadlines, net/http's own limits apply
		return func() {}
	}
	enableFullDuplex(w, body)
	return func() { linger(body) }
}

// linger reads the body for a while after a refusal. If the connection were closed
// while the caller still sends, it would be reset and the refusal lost.
func linger(body *callerBody) {
	if body.rc.Flush() != nil || body.rc.SetReadDeadline(time.Now().Add(bodyDrainTimeout)) != nil {
		return
	}
	// The error is ignored: the connection is closed next in any case.
	_, _ = io.CopyN(io.Discard, body.ReadCloser, maxLingerBytes)
}

// enableFullDuplex prepares a response that may begin before the body has ended. The
// connection is closed after it, as the rest of the body may be broken.
func enableFullDuplex(w http.ResponseWriter, body *callerBody) {
	if body.ended.Load() {
		return
	}
	_ = body.rc.EnableFullDuplex() // fails only for protocols that always are full duplex
	w.Header().Set("Connection", "close")
}

func (h *Handler) run(ctx context.Context, in *inbound) (*Response, error) {
	if in.once {
		return h.runKeyed(ctx, in)
	}
	return h.admit(ctx, in.req, in.service)
}

// withInboundOutcome adjusts the refusal of a request that may have an idempotency key.
func (h *Handler) withInboundOutcome(in *inbound, rf *refusal.Refusal) *refusal.Refusal {
	if !in.once || in.key.ID == "" {
		return rf
	}
	return h.withKeyOutcome(in.key.String(), rf)
}

func (h *Handler) writeRefusal(w http.ResponseWriter, in *inbound, rf *refusal.Refusal, start time.Time) {
	writeProblem(w, rf)
	h.record(in, Record{Outcome: rf.Outcome, Code: rf.Code, Status: rf.Status}, start)
}

func (h *Handler) record(in *inbound, r Record, start time.Time) {
	if h.cfg.Meter == nil {
		return
	}
	r.Service = in.req.Service
	r.Workspace = in.req.Workspace
	r.Origin = in.req.Origin
	r.Elapsed = time.Since(start)
	h.cfg.Meter.Record(r)
}

// bufferPool holds buffers for copyBody.
var bufferPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeResponse streams a response to the caller. It reports whether the response was
// written completely. It gives up on a caller that receives nothing for
// bodyIdleTimeout, and at the deadline.
func writeResponse(w http.ResponseWriter, rc *http.ResponseController, resp *Response, deadline time.Time) bool {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	delete(header, "Content-Length")
	if resp.ContentLength >= 0 && len(resp.Trailer) == 0 && hasLength(resp.Status) {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	header.Set(refusal.HeaderOutcome, string(resp.Outcome))
	if resp.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(resp.Status)
	if resp.ContentLength < 0 && rc.Flush() != nil {
		return false
	}
	if !copyBody(w, rc, resp, deadline) {
		return false
	}
	for name, values := range resp.Trailer {
		header[name] = values
	}
	return true
}

// hasLength reports whether responses with a status have a Content-Length.
func hasLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func copyBody(w http.ResponseWriter, rc *http.ResponseController, resp *Response, deadline time.Time) bool {
	buf, _ := bufferPool.Get().(*[copyBufferBytes]byte)
	defer bufferPool.Put(buf)
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			// The error is ignored: a connection without support for deadlines is
			// written without one.
			_ = rc.SetWriteDeadline(earlier(time.Now().Add(bodyIdleTimeout), deadline))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			if resp.ContentLength < 0 && rc.Flush() != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF //nolint:errorlint // io.Reader returns io.EOF itself.
		}
	}
}
