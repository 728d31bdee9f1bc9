package pipeliner_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

// partOfHead is the beginning of a request.
const partOfHead = "GET /2 HTTP/1.1\r\nHost: h\r\n"

// gate is a handler whose requests are released one by one, by their paths. It responds with the
// path.
type gate struct {
	mu    sync.Mutex
	opens map[string]chan struct{}
	// began counts the requests that reached the handler.
	began atomic.Int64
}

func (g *gate) opened(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opens == nil {
		g.opens = make(map[string]chan struct{})
	}
	if g.opens[path] == nil {
		g.opens[path] = make(chan struct{})
	}
	return g.opens[path]
}

// open releases the request with a path.
func (g *gate) open(path string) { close(g.opened(path)) }

// waitBegun waits until n requests have reached the handler.
func (g *gate) waitBegun(n int64) {
	for g.began.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.began.Add(1)
	select {
	case <-g.opened(r.URL.Path):
		_, _ = io.WriteString(w, r.URL.Path) // a failure shows in the response
	case <-r.Context().Done():
	}
}

// expectInTurn releases requests one after the other, and checks that each gets its response and that
// only the last one closes the connection.
func (g *gate) expectInTurn(t *testing.T, br *bufio.Reader, paths ...string) {
	t.Helper()
	is := is.New(t)
	for i, path := range paths {
		g.open(path)
		resp, body := readResponse(t, br)
		is.Equal(body, path)
		is.Equal(resp.Close, i == len(paths)-1)
	}
}

// Guards against a response that closes the connection although requests behind it are in
// progress: a handler may ask for the close at any time, the last response that is due brings it.
func TestLastDueResponseCloses(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		g.ServeHTTP(w, r)
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2")+get("/3"))
		g.waitBegun(3)
		br := bufio.NewReader(c)
		g.expectInTurn(t, br, "/1", "/2", "/3")
		_, err := br.ReadByte()
		is.Equal(err, io.EOF)
	})
}

// Guards against a server that, while it stops, closes a connection with requests in progress, or
// one on which a request is just coming.
func TestStoppingServerAnswersWhatIsDue(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(s *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2"))
		g.waitBegun(2)
		s.DisableKeepAlives()
		br := bufio.NewReader(c)
		g.open("/1")
		resp, _ := readResponse(t, br)
		is.True(!resp.Close)
		write(t, c, get("/3")[:10])
		time.Sleep(20 * time.Millisecond) // the head is being read
		g.open("/2")
		resp, _ = readResponse(t, br)
		is.True(!resp.Close)
		write(t, c, get("/3")[10:])
		g.open("/3")
		resp, body := readResponse(t, br)
		is.Equal(body, "/3")
		is.True(resp.Close)
	})
}

// Guards against a connection that never pauses and so outlives the time to stop: what has begun
// is answered, the last response closes, and nothing begins behind it.
func TestStoppingServerEndsPipelines(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(s *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2"))
		g.waitBegun(2)
		s.DisableKeepAlives()
		s.DisablePipelining()
		write(t, c, get("/3")+"POST /4 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		time.Sleep(20 * time.Millisecond) // both have come
		br := bufio.NewReader(c)
		g.expectInTurn(t, br, "/1", "/2")
		_, err := br.ReadByte()
		is.Equal(err, io.EOF)
		is.Equal(g.began.Load(), int64(2))
		is.NoErr(c.Close())
		is.NoErr(s.Drain(t.Context()))
		is.Equal(s.Cut(), int64(0))
	})
}

// Guards against an idle connection that loses its next request once pipelining is disabled.
func TestStoppingServerAnswersOnIdleConnection(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(s *pipeliner.Server, c *net.TCPConn) {
		g.open("/1")
		g.open("/2")
		write(t, c, get("/1"))
		br := bufio.NewReader(c)
		_, _ = readResponse(t, br)
		s.DisableKeepAlives()
		s.DisablePipelining()
		write(t, c, get("/2"))
		resp, body := readResponse(t, br)
		is.Equal(body, "/2")
		is.True(resp.Close)
	})
}

// Guards against a long response, whose header has announced the close, that is broken off by what
// the caller sends or closes behind it.
func TestClosingResponseIsWrittenWhole(t *testing.T) {
	for name, next := range map[string]func(c *net.TCPConn) error{
		"request":      func(c *net.TCPConn) error { _, err := io.WriteString(c, get("/2")); return err },
		"invalid head": func(c *net.TCPConn) error { _, err := io.WriteString(c, "GET\r\n\r\n"); return err },
		"part of a head": func(c *net.TCPConn) error {
			_, err := io.WriteString(c, partOfHead)
			return errors.Join(err, c.CloseWrite())
		},
		"half-close": (*net.TCPConn).CloseWrite,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rest := make(chan struct{})
			var handled atomic.Int64
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, "begin ")
				_ = http.NewResponseController(w).Flush() // a failure shows in the response
				<-rest
				_, _ = io.WriteString(w, "end")
			})
			withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
				write(t, c, get("/1"))
				br := bufio.NewReader(c)
				resp, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				is.NoErr(next(c))
				time.Sleep(20 * time.Millisecond) // it has come
				close(rest)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "begin end")
				_, err = br.ReadByte()
				is.Equal(err, io.EOF)
				is.Equal(handled.Load(), int64(1))
			})
		})
	}
}

// Guards against requests behind one with Connection: close that begin and are then cut off, and
// against such a request that cuts off those before it.
func TestRequestThatClosesIsTheLast(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/3"))
		g.waitBegun(2)
		time.Sleep(20 * time.Millisecond) // the third one has come
		br := bufio.NewReader(c)
		g.expectInTurn(t, br, "/1", "/2")
		is.Equal(g.began.Load(), int64(2))
	})
}

// Guards against a caller that closes its side within a further request, and loses the responses
// that are due.
func TestHalfCloseWithinHead(t *testing.T) {
	for name, request := range map[string]string{"1.1": get("/1"), "1.0": "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"} {
		for _, further := range []string{"", partOfHead} {
			t.Run(fmt.Sprintf("%s %q", name, further), func(t *testing.T) {
				is := is.New(t)
				g := &gate{}
				withServer(t, pipeliner.Config{Handler: g}, func(_ *pipeliner.Server, c *net.TCPConn) {
					write(t, c, request+further)
					is.NoErr(c.CloseWrite())
					g.waitBegun(1)
					time.Sleep(100 * time.Millisecond) // the close has come
					g.open("/1")
					br := bufio.NewReader(c)
					resp, body := readResponse(t, br)
					for resp.StatusCode == http.StatusContinue {
						resp, body = readResponse(t, br)
					}
					is.Equal(body, "/1")
				})
			})
		}
	}
}

// Guards against a handler that panics before its response and takes other requests along.
func TestPanicLeavesOtherRequests(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			panic("a fault of the handler")
		}
		_, _ = io.WriteString(w, r.URL.Path) // a failure shows in the response
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2")+get("/3"))
		br := bufio.NewReader(c)
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusOK} {
			resp, _ := readResponse(t, br)
			is.Equal(resp.StatusCode, status)
			is.True(!resp.Close)
		}
	})
}

// Guards against a request that does not end in the time to stop and takes along the complete
// responses behind it. Its own must not look like a success.
func TestCancelledRequestsLeaveOtherResponses(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(s *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2"))
		g.waitBegun(2)
		g.open("/2")
		s.DisableKeepAlives()
		s.DisablePipelining()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		is.True(s.Drain(ctx) != nil)
		s.CancelRequests()
		br := bufio.NewReader(c)
		resp, _ := readResponse(t, br)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		resp, body := readResponse(t, br)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "/2")
		is.True(resp.Close)
		is.NoErr(c.Close())
		is.NoErr(s.Drain(t.Context()))
		is.Equal(s.Cut(), int64(0))
	})
}

// Guards against a close that resets a connection whose caller is still sending, and so takes the
// last response along.
func TestDrainWaitsForCallersToClose(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(s *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1"))
		g.waitBegun(1)
		s.DisableKeepAlives()
		g.open("/1")
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		is.True(s.Drain(ctx) != nil)
		write(t, c, strings.Repeat(get("/2"), 100))
		_, body := readResponse(t, bufio.NewReader(c))
		is.Equal(body, "/1")
		is.NoErr(c.Close())
		is.NoErr(s.Drain(t.Context()))
	})
}

// Guards against responses that are lost silently: the server counts those that it cuts off.
func TestCutResponsesAreCounted(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	withServer(t, pipeliner.Config{Handler: g}, func(s *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2"))
		g.waitBegun(2)
		s.Close()
		is.Equal(s.Cut(), int64(2))
	})
}

// Guards against requests that begin behind a response that may be broken off, and against such a
// response that is not told of those that had begun.
func TestHeldPipeline(t *testing.T) {
	is := is.New(t)
	type holder interface {
		HoldPipeline() bool
		ReleasePipeline()
	}
	g := &gate{}
	behind, release := make(chan bool, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			g.waitBegun(1) // the second one
			h, _ := w.(holder)
			behind <- h.HoldPipeline()
			<-release
			h.ReleasePipeline()
		}
		g.ServeHTTP(w, r)
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2"))
		is.True(<-behind)
		write(t, c, get("/3"))
		time.Sleep(20 * time.Millisecond) // it has come
		is.Equal(g.began.Load(), int64(1))
		close(release)
		br := bufio.NewReader(c)
		for _, path := range []string{"/1", "/2", "/3"} {
			g.open(path)
			_, body := readResponse(t, br)
			is.Equal(body, path)
		}
	})
}
