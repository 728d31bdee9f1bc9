package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless is a target that answers each request with a beginning and then with the
// same bytes again and again, until its connection is closed.
type endless struct {
	beginning, rest string
	pause           time.Duration
	written         atomic.Int64
	closed          chan struct{}
}

func (e *endless) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *endless) serve(c net.Conn) {
	defer close(e.closed)
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, e.beginning); err != nil {
		return
	}
	for {
		n, err := io.WriteString(c, e.rest)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// An answer without end costs the target its connection by the request's deadline,
// frees its slot, keeps little memory in use, and never looks complete to the caller.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		patience = 400 * time.Millisecond
		slack    = time.Second
		// maxHead is the most of a head that is read, and maxHeap what one answer may
		// keep in use.
		maxHead = 128 << 10
		maxHeap = 16 << 20
	)
	signed := "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\n"
	block := strings.Repeat("x", 16<<10)
	for _, c := range []struct {
		name            string
		beginning, rest string
		pause           time.Duration
		head            bool
	}{
		{"no answer at all", "", block, 0, true},
		{"no answer, in lines", "", strings.Repeat("garbage\r\n", 1000), 0, true},
		{"no answer, byte by byte", "", "x", 5 * time.Millisecond, true},
		{"a status line", "HTTP/1.1 200 ", block, 0, true},
		{"a field", signed + "Long: ", block, 0, true},
		{"fields", signed, strings.Repeat("A: b\r\n", 2000), 0, true},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0, true},
		{"a body to the end of the connection", signed + "Connection: close\r\n\r\n", block, 0, false},
		{"a body to the end of the connection, byte by byte", signed + "\r\n", "x", 5 * time.Millisecond, false},
		{"chunks", signed + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 0, false},
		{"a chunk's size", signed + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1024), 0, false},
		{"a chunk's extension", signed + "Transfer-Encoding: chunked\r\n\r\n1;", block, 0, false},
		{"trailers", signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 2000), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := &endless{beginning: c.beginning, rest: c.rest, pause: c.pause, closed: make(chan struct{})}
			h, p, closeAll := withOneTarget(e.dial)
			defer closeAll()
			begun := time.Now()
			whole := callWhole(h)
			is.True(time.Since(begun) < patience+slack)
			is.True(!whole)
			select {
			case <-e.closed:
			case <-time.After(slack):
				t.Fatal("the connection is still open")
			}
			if c.head {
				is.True(e.written.Load() < maxHead)
			}
			is.Equal(len(p.InFlight()), 0)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			is.True(m.HeapAlloc < maxHeap)
		})
	}
}

// discard is a caller that takes any number of bytes and keeps none.
type discard struct {
	header http.Header
	status int
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) WriteHeader(status int)      { d.status = status }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// callWhole sends one request and reports whether its answer is a success that looks
// complete.
func callWhole(h http.Handler) (whole bool) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/pay/1", strings.NewReader("body"))
	if err != nil {
		return false
	}
	r.RequestURI = "/pay/1"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	r.Header.Set("Patience", "400")
	d := &discard{header: make(http.Header)}
	defer func() {
		if recover() != nil {
			whole = false // The handler cut the answer short.
		}
	}()
	h.ServeHTTP(d, r)
	return d.status < http.StatusMultipleChoices
}
