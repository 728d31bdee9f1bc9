package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// ErrNotWhole is returned by writes of more or less body than was declared.
var ErrBodyLength = errors.New("pipeliner: the body is not as long as declared")

// writeTimeout is how long a caller may take nothing of its answer.
const writeTimeout = 10 * time.Second

// exchange is one request and its answer. It implements http.ResponseWriter and
// http.Flusher for the handler.
type exchange struct {
	c *conn
	r *http.Request
	// turn is closed when all answers before this one are out, and next when
	// this one is.
	turn <-chan struct{}
	next chan struct{}
	body *body

	header http.Header
	status int
	// begun is set when the answer begins: the body is then no longer wanted.
	begun   atomic.Bool
	length  int64 // what is still due of a declared length; negative if chunked
	chunked io.WriteCloser
	closing bool
	failed  bool
}

func newExchange(c *conn, r *http.Request, turn <-chan struct{}, next chan struct{}) *exchange {
	ex := &exchange{c: c, turn: turn, next: next, header: make(http.Header)}
	ex.body = &body{ex: ex, src: r.Body, ended: make(chan struct{})}
	ex.body.expects = strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if r.ContentLength == 0 {
		ex.body.end()
	}
	r.Body = ex.body
	ex.r = r
	return ex
}

// wait returns true when the answers before this one are out.
func (ex *exchange) wait() bool {
	select {
	case <-ex.turn:
		return true
	case <-ex.c.ctx.Done():
		return false
	}
}

// run calls the handler and finishes the answer.
func (ex *exchange) run() {
	defer close(ex.next)
	defer ex.c.end()
	ctx, cancel := context.WithCancel(ex.c.ctx)
	defer cancel()
	ex.closing = ex.r.Close
	if !ex.handle(ctx) || !ex.finish() {
		ex.c.abort()
		return
	}
	if ex.closing {
		ex.c.finish()
	}
}

// handle calls the handler; false means that the connection must break.
func (ex *exchange) handle(ctx context.Context) (whole bool) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			whole = false
		default:
			log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).Error("handler failed")
			whole = false
		}
	}()
	ex.c.srv.cfg.Handler.ServeHTTP(ex, ex.r.WithContext(ctx))
	return true
}

// finish writes what is left of the answer, in its turn.
func (ex *exchange) finish() bool {
	if ex.status == 0 {
		ex.header.Set("Content-Length", "0")
		ex.WriteHeader(http.StatusOK)
	}
	if ex.failed || ex.length > 0 {
		return false
	}
	if ex.chunked != nil {
		if ex.chunked.Close() != nil {
			return false
		}
		if _, err := ex.c.bw.WriteString("\r\n"); err != nil {
			return false
		}
	}
	if ex.c.bw.Flush() != nil {
		return false
	}
	ex.c.endAnswer()
	return true
}

// Header implements http.ResponseWriter.
func (ex *exchange) Header() http.Header { return ex.header }

// WriteHeader implements http.ResponseWriter. It waits until the answers before
// this one are out.
func (ex *exchange) WriteHeader(status int) {
	if ex.status != 0 {
		return
	}
	ex.status = status
	ex.begun.Store(true)
	if !ex.wait() {
		ex.failed = true
		return
	}
	ex.c.beginAnswer()
	ex.frame()
	_ = ex.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // A closed connection fails the write.
	w := ex.c.bw
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	err := ex.header.Write(w)
	if _, end := w.WriteString("\r\n"); err != nil || end != nil {
		ex.failed = true
	}
}

// frame decides how the body ends and whether the connection goes on.
func (ex *exchange) frame() {
	if !ex.body.hasEnded() || ex.header.Get("Connection") == "close" {
		ex.closing = true
	}
	if ex.closing {
		ex.c.seal()
		ex.header.Set("Connection", "close")
	}
	declared, err := strconv.ParseInt(ex.header.Get("Content-Length"), 10, 64)
	switch {
	case ex.r.Method == http.MethodHead || !hasBody(ex.status):
		ex.length = 0
	case err == nil:
		ex.length = declared
	default:
		ex.length = -1
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
	if ex.length >= 0 && int64(len(p)) > ex.length {
		ex.failed = true
		return 0, ErrBodyLength
	}
	_ = ex.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := ex.writer().Write(p)
	if ex.length > 0 {
		ex.length -= int64(n)
	}
	if err != nil {
		ex.failed = true
	}
	return n, err
}

func (ex *exchange) writer() io.Writer {
	if ex.chunked != nil {
		return ex.chunked
	}
	return ex.c.bw
}

// Flush implements http.Flusher.
func (ex *exchange) Flush() {
	if ex.status != 0 && !ex.failed && ex.c.bw.Flush() != nil {
		ex.failed = true
	}
}

// bodyRead waits until the request's body has been read, or its answer is out.
// It reports whether a further request can follow.
func (ex *exchange) bodyRead() bool {
	select {
	case <-ex.body.ended:
		return true
	case <-ex.next:
	case <-ex.c.ctx.Done():
		return false
	}
	if ex.body.hasEnded() {
		return true
	}
	ex.c.linger()
	return false
}

// body is a request's body as its handler reads it.
type body struct {
	ex      *exchange
	src     io.ReadCloser
	expects bool

	once  sync.Once
	ended chan struct{}
}

func (b *body) end() { b.once.Do(func() { close(b.ended) }) }

func (b *body) hasEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Read implements io.Reader. The first read of a caller that waits for it asks
// it to go on.
func (b *body) Read(p []byte) (int, error) {
	if b.expects {
		b.expects = false
		if err := b.invite(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

func (b *body) invite() error {
	if !b.ex.wait() {
		return context.Canceled
	}
	if b.ex.begun.Load() {
		return ErrBodyLength // The answer has begun: the body is not wanted.
	}
	w := bufio.NewWriter(b.ex.c.nc)
	if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// Close implements io.Closer. What is left unread is read or cut by the
// connection.
func (b *body) Close() error { return nil }
