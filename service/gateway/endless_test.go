package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessTarget responds to a request with prefix and then with repeated again and
// again, until its connection is closed. It accepts further connections, for which hosts
// ask when one ends.
type endlessTarget struct {
	prefix, repeated string
	pause            time.Duration
	written          atomic.Int64
	closed           chan struct{}
	once             sync.Once
}

func (e *endlessTarget) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go e.serve(server)
	return client, nil
}

func (e *endlessTarget) serve(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	defer e.once.Do(func() { close(e.closed) })
	if _, err := io.WriteString(c, e.prefix); err != nil {
		return
	}
	for {
		n, err := io.WriteString(c, e.repeated)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// An endless response must end with its connection by the request's deadline, free its
// slot, use little memory, and never look complete to the caller.
func TestEndlessResponses(t *testing.T) {
	const (
		timeout = 400 * time.Millisecond
		slack   = time.Second
		// maxHeader bounds what is read of a response header, and maxHeap the memory that
		// one response may keep in use.
		maxHeader = 128 << 10
		maxHeap   = 16 << 20
	)
	stamped := "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\n"
	block := strings.Repeat("x", 16<<10)
	for _, c := range []struct {
		name             string
		prefix, repeated string
		pause            time.Duration
		inHeader         bool
	}{
		{"not HTTP", "", block, 0, true},
		{"not HTTP, in lines", "", strings.Repeat("garbage\r\n", 1000), 0, true},
		{"not HTTP, byte by byte", "", "x", 5 * time.Millisecond, true},
		{"status line", "HTTP/1.1 200 ", block, 0, true},
		{"header field", stamped + "Long: ", block, 0, true},
		{"header fields", stamped, strings.Repeat("A: b\r\n", 2000), 0, true},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0, true},
		{"body without length", stamped + "Connection: close\r\n\r\n", block, 0, false},
		{"body without length, byte by byte", stamped + "\r\n", "x", 5 * time.Millisecond, false},
		{"chunks", stamped + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 0, false},
		{"chunk size", stamped + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1024), 0, false},
		{"chunk extension", stamped + "Transfer-Encoding: chunked\r\n\r\n1;", block, 0, false},
		{"trailers", stamped + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 2000), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := &endlessTarget{prefix: c.prefix, repeated: c.repeated, pause: c.pause, closed: make(chan struct{})}
			h, lb, closeAll := newSingleTargetHandler(e.dial)
			defer closeAll()
			start := time.Now()
			complete := sendComplete(h)
			is.True(time.Since(start) < timeout+slack)
			is.True(!complete)
			select {
			case <-e.closed:
			case <-time.After(slack):
				t.Fatal("the connection to the target is still open")
			}
			if c.inHeader {
				is.True(e.written.Load() < maxHeader)
			}
			is.Equal(len(lb.InFlight()), 0)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			is.True(m.HeapAlloc < maxHeap)
		})
	}
}

// discardWriter is a ResponseWriter that discards the body.
type discardWriter struct {
	header http.Header
	status int
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(status int)      { d.status = status }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// sendComplete sends one request and reports whether the response is successful and
// looks complete.
func sendComplete(h http.Handler) (complete bool) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/pay/1", strings.NewReader("body"))
	if err != nil {
		return false
	}
	r.RequestURI = "/pay/1"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	r.Header.Set("Timeout", "400")
	d := &discardWriter{header: make(http.Header)}
	defer func() {
		if recover() != nil {
			complete = false // the handler aborted the response
		}
	}()
	h.ServeHTTP(d, r)
	return d.status < http.StatusMultipleChoices
}
