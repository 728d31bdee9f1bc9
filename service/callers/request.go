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

// serveRequest sends a caller's request to a target and the answer back.
func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	rc := http.NewResponseController(w)
	body := &progressBody{ReadCloser: r.Body, rc: rc}
	if r.ContentLength == 0 {
		body.ended.Store(true)
	} else {
		r.Body = body
	}
	in, rf := h.take(r)
	if rf != nil {
		after := endBody(w, r, body)
		h.refuse(w, in, h.ofIntake(in, rf), begun)
		after()
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), in.timeout)
	defer cancel()
	body.until, _ = ctx.Deadline()
	a, err := h.run(ctx, in)
	if err != nil {
		after := endBody(w, r, body)
		h.refuse(w, in, asRefusal(err), begun)
		after()
		return
	}
	defer func() { _ = a.Body.Close() }() // It has ended, or the rest is not wanted.
	overlap(w, body)
	whole := writeAnswer(w, rc, a, body.until)
	h.record(in, Record{
		Region: a.Region, Target: a.Target, Outcome: a.Outcome, Status: a.Status,
		TargetLatency: a.TargetLatency, Waited: a.Waited,
	}, begun)
	if !whole {
		// The connection breaks, so that a short answer never looks whole.
		panic(http.ErrAbortHandler)
	}
}

// endBody prepares a refusal while the body may not have been read, and returns
// what is to be done behind it. A short rest of the body is left to net/http,
// which reads it before the answer, so that the connection can be kept.
func endBody(w http.ResponseWriter, r *http.Request, body *progressBody) func() {
	switch {
	case body.ended.Load():
		return func() {}
	case body.broken.Load():
		// What follows cannot be told from the broken body.
		w.Header().Set("Connection", "close")
		return func() {}
	case !r.Close && r.ContentLength > 0 && r.ContentLength <= bodyDrainBytes, r.Header.Get("Expect") != "":
		_ = body.rc.SetReadDeadline(time.Now().Add(bodyDrain)) // Else net/http's own bounds hold.
		return func() {}
	}
	overlap(w, body)
	return func() { linger(body) }
}

// linger reads on for a while behind a refusal. A connection that is closed
// while the caller still sends would be reset, and the refusal lost.
func linger(body *progressBody) {
	if body.rc.Flush() != nil || body.rc.SetReadDeadline(time.Now().Add(bodyDrain)) != nil {
		return
	}
	// Whatever ends the rest, the connection is closed behind it.
	_, _ = io.CopyN(io.Discard, body.ReadCloser, bodyLingerBytes)
}

// overlap prepares an answer that begins before the body has ended. Such a
// connection carries no further request, as the rest of the body may be broken.
func overlap(w http.ResponseWriter, body *progressBody) {
	if body.ended.Load() {
		return
	}
	_ = body.rc.EnableFullDuplex() // Other protocols than HTTP/1 always are.
	w.Header().Set("Connection", "close")
}

func (h *Handler) run(ctx context.Context, in *intake) (*Response, error) {
	if in.once {
		return h.runOnce(ctx, in)
	}
	return h.admit(ctx, in.forward, in.service)
}

// ofIntake returns the refusal of a request that may carry an idempotency key.
func (h *Handler) ofIntake(in *intake, rf *refusal.Refusal) *refusal.Refusal {
	if !in.once || in.key.ID == "" {
		return rf
	}
	return h.ofKey(in.key.String(), rf)
}

func (h *Handler) refuse(w http.ResponseWriter, in *intake, rf *refusal.Refusal, begun time.Time) {
	writeProblem(w, rf)
	h.record(in, Record{Outcome: rf.Outcome, Code: rf.Code, Status: rf.Status}, begun)
}

func (h *Handler) record(in *intake, r Record, begun time.Time) {
	if h.cfg.Meter == nil {
		return
	}
	r.Service = in.forward.Service
	r.Workspace = in.forward.Workspace
	r.Origin = in.forward.Origin
	r.Elapsed = time.Since(begun)
	h.cfg.Meter.Record(r)
}

// buffers holds buffers of copyBytes.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// writeAnswer streams an answer to the caller. It reports whether the caller
// can have got the whole answer. A caller that takes nothing is given up on,
// at the latest at the time until.
func writeAnswer(w http.ResponseWriter, rc *http.ResponseController, a *Response, until time.Time) bool {
	head := w.Header()
	for name, values := range a.Header {
		head[name] = values
	}
	delete(head, "Content-Length")
	if a.ContentLength >= 0 && len(a.Trailer) == 0 && hasLength(a.Status) {
		head.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	for name := range a.Trailer {
		head.Add("Trailer", name)
	}
	head.Set(refusal.HeaderOutcome, string(a.Outcome))
	if a.Replayed {
		head.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(a.Status)
	if a.ContentLength < 0 && rc.Flush() != nil {
		return false
	}
	if !copyBody(w, rc, a, until) {
		return false
	}
	for name, values := range a.Trailer {
		head[name] = values
	}
	return true
}

// hasLength reports whether answers of a status say how long they are.
func hasLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func copyBody(w http.ResponseWriter, rc *http.ResponseController, a *Response, until time.Time) bool {
	buf, _ := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buf)
	for {
		n, err := a.Body.Read(buf[:])
		if n > 0 {
			// A connection without deadlines is written without a bound.
			_ = rc.SetWriteDeadline(earlier(time.Now().Add(bodyProgress), until))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			if a.ContentLength < 0 && rc.Flush() != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF //nolint:errorlint // io.Reader returns io.EOF itself.
		}
	}
}
