package pipeliner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// ErrBodyLength is returned by a write beyond the declared Content-Length, and by a
// read of the request's body after the response has begun if the caller still waits
// for a 100 Continue response.
var ErrBodyLength = errors.New("pipeliner: the body does not have its declared length")

// writeTimeout bounds each write of a response, for callers that do not read.
const writeTimeout = 10 * time.Second

// exchange is one request with its response. It implements http.ResponseWriter and
// http.Flusher.
type exchange struct {
	c *conn
	r *http.Request
	// turn is closed when all earlier responses are written, and done when this one
	// is.
	turn <-chan struct{}
	done chan struct{}
	body *body

	header http.Header
	status int
	// responseStarted is set when the response begins. From then on the caller is not
	// asked for the request's body any more.
	responseStarted atomic.Bool
	remaining       int64 // bytes of the declared length still to be written; negative if chunked
	chunked         io.WriteCloser
	// closes is set if the connection closes after the response.
	closes bool
	failed bool
	// early is set if the request began before the earlier responses were written.
	early bool
	// number is the number of the request on its connection.
	number int
	// holding is set while the pipeline is held.
	holding atomic.Bool
}

func newExchange(c *conn, r *http.Request, turn <-chan struct{}, done chan struct{}) *exchange {
	ex := &exchange{c: c, turn: turn, done: done, header: make(http.Header)}
	ex.body = &body{ex: ex, source: r.Body, ended: make(chan struct{})}
	ex.body.expectsContinue = strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if r.ContentLength == 0 {
		ex.body.end()
	}
	r.Body = ex.body
	ex.r = r
	return ex
}

// waitForTurn waits until the earlier responses are written. It returns false if the
// connection ends before that.
func (ex *exchange) waitForTurn() bool { return ex.c.waitFor(ex.turn) }

// startEarly reports whether the request may begin before the earlier responses are written,
// as there is room for it, or has its turn.
func (ex *exchange) startEarly() bool {
	select {
	case <-ex.turn:
		return true
	default:
	}
	select {
	case ex.c.server.early <- struct{}{}:
		ex.early = true
		return true
	default:
		return false
	}
}

// endEarly makes room for another request to begin early.
func (ex *exchange) endEarly() {
	if ex.early {
		ex.early = false
		<-ex.c.server.early
	}
}

// HoldPipeline is to be called before a response begins that may be broken off, which closes the
// connection. It keeps further requests of the connection from beginning until ReleasePipeline is
// called or the response is written, and reports whether some have begun behind this one. It may be
// called again, also concurrently.
func (ex *exchange) HoldPipeline() (behind bool) {
	behind = ex.c.state.hold(ex.number)
	if ex.holding.Swap(true) {
		ex.c.state.release() // it was held already
	}
	return behind
}

// ReleasePipeline is to be called once the response is whole.
func (ex *exchange) ReleasePipeline() {
	if ex.holding.Swap(false) {
		ex.c.state.release()
	}
}

// run calls the handler and finishes the response.
func (ex *exchange) run() {
	defer close(ex.done)
	defer ex.c.state.endRequest()
	defer ex.ReleasePipeline()
	defer ex.endEarly()
	ctx, cancel := context.WithCancel(ex.c.requests)
	defer cancel()
	if !ex.handle(ctx) || !ex.finish() {
		ex.c.cutOff(ex.failed)
		return
	}
	if ex.closes {
		ex.c.closeAfterResponse()
	}
}

// handle calls the handler. It returns false if the handler panicked within its response; the
// connection must then be closed, so that the response does not look complete.
func (ex *exchange) handle(ctx context.Context) (completed bool) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			completed = false
		default:
			log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).Error("handler panicked")
			completed = ex.fail()
		}
	}()
	ex.c.server.cfg.Handler.ServeHTTP(ex, ex.r.WithContext(ctx))
	return true
}

// fail responds with status 500, so that the other requests of the connection go on. It returns
// false if a response has begun.
func (ex *exchange) fail() bool {
	if ex.status != 0 {
		return false
	}
	ex.header = http.Header{"Content-Length": {"0"}}
	ex.WriteHeader(http.StatusInternalServerError)
	return true
}

// finish writes the rest of the response in its turn. It returns false if the response
// is incomplete.
func (ex *exchange) finish() bool {
	switch {
	case ex.status != 0:
	case ex.c.requests.Err() != nil: // A handler that gave up must not look as if it had succeeded.
		ex.fail()
	default:
		ex.header.Set("Content-Length", "0")
		ex.WriteHeader(http.StatusOK)
	}
	if ex.failed || ex.remaining > 0 {
		return false
	}
	ex.c.extendWriteDeadline()
	if ex.chunked != nil {
		if ex.chunked.Close() != nil {
			return false
		}
		if _, err := ex.c.bw.WriteString("\r\n"); err != nil {
			return false
		}
	}
	return ex.c.bw.Flush() == nil
}

// Header implements http.ResponseWriter.
func (ex *exchange) Header() http.Header { return ex.header }

// WriteHeader implements http.ResponseWriter. It waits until the earlier responses are
// written.
func (ex *exchange) WriteHeader(status int) {
	if ex.status != 0 {
		return
	}
	ex.status = status
	ex.responseStarted.Store(true)
	if !ex.waitForTurn() {
		ex.failed = true
		return
	}
	ex.setConnection()
	ex.setFraming()
	ex.c.extendWriteDeadline()
	w := ex.c.bw
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	err := ex.header.Write(w)
	if _, end := w.WriteString("\r\n"); err != nil || end != nil {
		ex.failed = true
	}
}

// setConnection sets whether the connection closes after the response. That happens with the last
// response that is due, also if an earlier one asked for it.
func (ex *exchange) setConnection() {
	stop := !ex.body.hasEnded() || ex.header.Get("Connection") == "close"
	ex.header.Del("Connection")
	if ex.closes = ex.c.state.beginResponse(stop); ex.closes {
		ex.header.Set("Connection", "close")
	}
}

// setFraming sets how the end of the body is marked.
func (ex *exchange) setFraming() {
	declared, err := strconv.ParseInt(ex.header.Get("Content-Length"), 10, 64)
	switch {
	case ex.r.Method == http.MethodHead || !hasBody(ex.status):
		ex.remaining = 0
	case err == nil:
		ex.remaining = declared
	default:
		ex.remaining = -1
		ex.header.Del("Content-Length")
		ex.header.Set("Transfer-Encoding", "chunked")
		ex.chunked = httputil.NewChunkedWriter(ex.c.bw)
	}
}

func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (ex *exchange) Write(p []byte) (int, error) {
	if ex.status == 0 {
		ex.WriteHeader(http.StatusOK)
	}
	if ex.failed {
		return 0, context.Canceled
	}
	if ex.r.Method == http.MethodHead {
		return len(p), nil
	}
	if ex.remaining >= 0 && int64(len(p)) > ex.remaining {
		ex.failed = true
		return 0, ErrBodyLength
	}
	ex.c.extendWriteDeadline()
	n, err := ex.bodyWriter().Write(p)
	if ex.remaining > 0 {
		ex.remaining -= int64(n)
	}
	if err != nil {
		ex.failed = true
	}
	return n, err
}

func (ex *exchange) bodyWriter() io.Writer {
	if ex.chunked != nil {
		return ex.chunked
	}
	return ex.c.bw
}

// Flush implements http.Flusher.
func (ex *exchange) Flush() {
	if ex.status == 0 || ex.failed {
		return
	}
	ex.c.extendWriteDeadline()
	if ex.c.bw.Flush() != nil {
		ex.failed = true
	}
}

// waitForBody waits until the request's body has been read or its response written. It
// reports whether a further request can be read.
func (ex *exchange) waitForBody() bool {
	select {
	case <-ex.body.ended:
		return true
	case <-ex.done:
	case <-ex.c.ctx.Done():
		return false
	}
	if ex.body.hasEnded() {
		return true
	}
	ex.c.linger() // The response has closed the connection.
	return false
}
