package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

// pipeListener accepts the connections that are put into it, and fails once for each error.
type pipeListener struct {
	conns  chan net.Conn
	errs   chan error
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn, 10), errs: make(chan error, 10), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, err
	default:
	}
	select {
	case c := <-l.conns:
		return c, nil
	case err := <-l.errs:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's side of a new connection.
func (l *pipeListener) dial() net.Conn {
	caller, server := net.Pipe()
	l.conns <- server
	return caller
}

// Each kind of write must reach a caller whose connection was idle for longer than a write may
// take: the deadline of an earlier response must not outlast it.
func TestWritesOnConnectionThatWasIdle(t *testing.T) {
	const upload = "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"response":          {get("/whole"), http.StatusOK},
		"chunks":            {get("/chunks"), http.StatusOK},
		"asked for a body":  {upload, http.StatusContinue},
		"unreadable head":   {"GET\r\n\r\n", http.StatusBadRequest},
		"head too large":    {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		"head that stalls":  {"GET / HTTP/1.1\r\n", http.StatusRequestTimeout},
		"response, no body": {"HEAD /whole HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newPipeListener()
				s := pipeliner.New(pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body) // only the response counts
					if r.URL.Path == "/chunks" {
						w.WriteHeader(http.StatusOK)
						_ = http.NewResponseController(w).Flush() // a failure shows in the response
						time.Sleep(11 * time.Second)
					}
					_, _ = w.Write([]byte("x")) // a failure shows in the response
				})})
				go s.Serve(l)
				conn := l.dial()
				r := bufio.NewReader(conn)
				go func() { _, _ = io.WriteString(conn, get("/")) }() // a failure shows in the response
				_, _ = readResponse(t, r)
				time.Sleep(11 * time.Second)
				go func() { _, _ = io.WriteString(conn, c.request) }() // the server may close first
				resp, err := http.ReadResponse(r, &http.Request{Method: c.request[:4]})
				if err != nil {
					t.Errorf("the response is lost: %v", err)
					s.Close()
					time.Sleep(time.Minute)
					return
				}
				is.Equal(resp.StatusCode, c.status)
				_, err = io.ReadAll(resp.Body)
				is.NoErr(err)
				is.NoErr(conn.Close())
				s.Close()
				<-s.Done()
				time.Sleep(time.Minute) // for what still waits
			})
		})
	}
}
