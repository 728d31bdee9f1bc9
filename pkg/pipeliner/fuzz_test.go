package pipeliner_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

// handledRequest is a request as the handler got it.
type handledRequest struct {
	uri  string
	body string
}

// completeRequests returns the requests in the bytes of a connection, as net/http reads
// them one after the other, up to the first incomplete one.
func completeRequests(text []byte) map[handledRequest]int {
	all := make(map[handledRequest]int)
	r := bufio.NewReader(bytes.NewReader(text))
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return all
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return all
		}
		all[handledRequest{req.RequestURI, string(body)}]++
	}
}

// FuzzConnection checks that for any input the handler gets only requests that the
// input contains, and that the caller gets at most one response for each request and
// one for what cannot be read.
func FuzzConnection(f *testing.F) {
	post := "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	chunks := "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for _, s := range []string{
		get("/1"), get("/1") + get("/2") + post + get("/3"), chunks + get("/4"), "GET /1 HTT", "\x00\xff\r\n\r\n",
		"POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/5"),
		"POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", chunks[:60],
		"GET /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab", "GET /0 HTTP/1.0\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/6"),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var mu sync.Mutex
		got := make(map[handledRequest]int)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			mu.Lock()
			got[handledRequest{r.RequestURI, string(body)}]++
			mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body) // The caller may have disconnected.
		})
		bounds := func() pipeliner.Bounds {
			return pipeliner.Bounds{MaxHeaderBytes: 4096, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
		}
		var statuses []int
		withSocket(t, pipeliner.Config{Handler: handler, Bounds: bounds}, func(c *net.UnixConn) {
			_, _ = c.Write(text) // The server may close the connection before it has read all.
			_ = c.CloseWrite()
			statuses = readResponses(t, c, string(text))
		})
		mu.Lock()
		defer mu.Unlock()
		whole := completeRequests(text)
		handled := 0
		for s, n := range got {
			handled += n
			if n > whole[s] {
				t.Errorf("%d requests %q handled, the bytes hold %d", n, s, whole[s])
			}
		}
		final := 0
		for _, s := range statuses {
			if s >= http.StatusOK {
				final++
			}
		}
		if final > len(whole)+handled+1 {
			t.Errorf("%d answers for %d requests", final, handled)
		}
	})
}

// withSocket runs f with a connection to a server on a Unix socket, which needs no
// port.
func withSocket(t *testing.T, cfg pipeliner.Config, f func(c *net.UnixConn)) {
	t.Helper()
	address := &net.UnixAddr{Net: "unix", Name: filepath.Join(t.TempDir(), "s")}
	l, err := net.ListenUnix("unix", address)
	if err != nil {
		t.Fatal(err)
	}
	s := pipeliner.New(cfg)
	go s.Serve(l)
	c, err := net.DialUnix("unix", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	f(c)
	s.Close()
	<-s.Done()
	_ = c.Close() // It may be closed already.
}

// readResponses reads responses until the connection ends, and returns their statuses.
func readResponses(t *testing.T, c net.Conn, sent string) []int {
	t.Helper()
	var statuses []int
	r := bufio.NewReader(c)
	for {
		method := http.MethodGet
		if strings.HasPrefix(sent, http.MethodHead) {
			method = http.MethodHead
		}
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("the connection was not closed within %v", testTimeout)
		}
		if err != nil {
			return statuses
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			return statuses
		}
		_ = resp.Body.Close() // It has been read.
		statuses = append(statuses, resp.StatusCode)
	}
}
