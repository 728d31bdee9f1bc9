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
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 5 * time.Second

// withServer runs f with a connection to a server.
func withServer(t *testing.T, cfg pipeliner.Config, f func(s *pipeliner.Server, c *net.TCPConn)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := pipeliner.New(cfg)
	go s.Serve(l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		t.Fatal("no TCP connection")
	}
	f(s, tcp)
	s.Close()
	<-s.Done()
	_ = c.Close() // It may be closed already.
}

func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// readResponse reads one response and its body.
func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// TestPipelinedReadsRunTogether checks that safe requests of one connection run
// concurrently and that their responses come in the order of the requests.
func TestPipelinedReadsRunTogether(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second // The first request waits for the second one.
		case "/2":
			close(second)
		}
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2")+get("/3"))
		br := bufio.NewReader(c)
		for _, want := range []string{"/1", "/2", "/3"} {
			_, body := readResponse(t, br)
			is.Equal(body, want)
		}
	})
}

// TestUnsafeRequestWaitsForItsTurn checks that a request other than GET and HEAD runs
// only after the earlier responses are written.
func TestUnsafeRequestWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	var running atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) > 1 {
			t.Error("requests run together")
		}
		time.Sleep(20 * time.Millisecond)
		running.Add(-1)
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(append([]byte(r.URL.Path), text...))
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
			"POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n")
		br := bufio.NewReader(c)
		for _, want := range []string{"/1", "/2abc", "/3de"} {
			_, body := readResponse(t, br)
			is.Equal(body, want)
		}
	})
}

// TestNothingRunsBehindAClosingAnswer checks that no request runs after a response
// that closes the connection.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			ran.Add(1)
		}
		w.Header().Set("Connection", "close")
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		br := bufio.NewReader(c)
		resp, body := readResponse(t, br)
		is.Equal(body, "/1")
		is.True(resp.Close)
		_, err := br.ReadByte()
		is.Equal(err, io.EOF)
		is.Equal(ran.Load(), int32(0))
	})
}

// TestClosedCallerCancelsItsRequests checks that a closed connection cancels all its
// requests, also if further ones were pipelined behind the first.
func TestClosedCallerCancelsItsRequests(t *testing.T) {
	cancelled := make(chan string, 2)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled <- r.URL.Path
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2"))
		time.Sleep(20 * time.Millisecond)
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			select {
			case <-cancelled:
			case <-time.After(testTimeout):
				t.Fatal("not cancelled")
			}
		}
	})
}

// TestHalfClosedCallerGetsItsAnswers checks that a caller that closed its side for
// writing gets all its responses, in order.
func TestHalfClosedCallerGetsItsAnswers(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		is.NoErr(err)
		select {
		case <-time.After(300 * time.Millisecond):
			_, _ = io.WriteString(w, r.URL.Path)
		case <-r.Context().Done():
		}
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1")+get("/2")+"POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		is.NoErr(c.CloseWrite())
		r := bufio.NewReader(c)
		for _, want := range []string{"/1", "/2", "/3"} {
			resp, body := readResponse(t, r)
			for resp.StatusCode == http.StatusContinue {
				resp, body = readResponse(t, r)
			}
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, want)
		}
		_, err := r.ReadByte()
		is.True(errors.Is(err, io.EOF)) // The connection ends after the last response.
	})
}

// TestHalfClosedCallerThatLeaves checks that the requests of a caller that closed its
// side for writing, and then the connection, are cancelled within 500 ms.
func TestHalfClosedCallerThatLeaves(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan time.Time, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled <- time.Now()
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1"))
		is.NoErr(c.CloseWrite())
		time.Sleep(100 * time.Millisecond)
		left := time.Now()
		is.NoErr(c.Close())
		select {
		case at := <-cancelled:
			is.True(at.Sub(left) < 500*time.Millisecond)
		case <-time.After(testTimeout):
			t.Fatal("not cancelled")
		}
	})
}

// TestShortAnswerNeverLooksWhole checks that a response shorter than its declared
// length breaks the connection.
func TestShortAnswerNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("half"))
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return // The connection broke before the head was written.
		}
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
	})
}

func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(text)
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		br := bufio.NewReader(c)
		line, err := br.ReadString('\n')
		is.NoErr(err)
		is.Equal(strings.TrimSpace(line), "HTTP/1.1 100 Continue")
		_, err = br.ReadString('\n')
		is.NoErr(err)
		write(t, c, "abc")
		_, body := readResponse(t, br)
		is.Equal(body, "abc")
	})
}

// TestRefusalReachesCallerSendingBody checks that a caller that is still sending its
// body gets the response that refuses it, and not a reset connection.
func TestRefusalReachesCallerSendingBody(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(_ *pipeliner.Server, c *net.TCPConn) {
		write(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
		go func() { _, _ = c.Write(make([]byte, 1_000_000)) }() // The server may close the connection.
		resp, _ := readResponse(t, bufio.NewReader(c))
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.True(resp.Close)
	})
}

func TestUnreadableRequestHeads(t *testing.T) {
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("handled") })
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"tooLong":    {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"malformed":  {"GET\r\n\r\n", http.StatusBadRequest},
		"twoLengths": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
		"tooSlow":    {"GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bounds := func() pipeliner.Bounds {
				return pipeliner.Bounds{MaxHeaderBytes: 8 << 10, HeaderTimeout: 50 * time.Millisecond}
			}
			withServer(t, pipeliner.Config{Handler: handler, Bounds: bounds}, func(_ *pipeliner.Server, conn *net.TCPConn) {
				go func() { _, _ = io.WriteString(conn, c.text) }() // The server may close the connection.
				resp, _ := readResponse(t, bufio.NewReader(conn))
				is.Equal(resp.StatusCode, c.want)
			})
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	bounds := func() pipeliner.Bounds { return pipeliner.Bounds{IdleTimeout: 50 * time.Millisecond} }
	withServer(t, pipeliner.Config{Handler: handler, Bounds: bounds}, func(_ *pipeliner.Server, c *net.TCPConn) {
		_, err := bufio.NewReader(c).ReadByte()
		is.Equal(err, io.EOF)
	})
}

// TestDrainWaitsForAnswers checks that Drain waits for the responses in progress.
func TestDrainWaitsForAnswers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = w.Write([]byte("done"))
	})
	withServer(t, pipeliner.Config{Handler: handler}, func(s *pipeliner.Server, c *net.TCPConn) {
		write(t, c, get("/1"))
		for s.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		is.True(s.Drain(ctx) != nil)
		close(release)
		is.NoErr(s.Drain(t.Context()))
		_, body := readResponse(t, bufio.NewReader(c))
		is.Equal(body, "done")
	})
}
