package pipeliner_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

// A head of many short fields is refused, though it has few bytes: each field takes memory.
func TestHeadOfManyFields(t *testing.T) {
	for fields, status := range map[int]int{500: http.StatusOK, 5000: http.StatusRequestHeaderFieldsTooLarge} {
		synctest.Test(t, func(t *testing.T) {
			l := newPipeListener()
			s := pipeliner.New(pipeliner.Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
			go s.Serve(l)
			c := l.dial()
			go func() { // a failure shows in the response
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", fields)+"\r\n")
			}()
			if resp, _ := readResponse(t, bufio.NewReader(c)); resp.StatusCode != status {
				t.Errorf("%d fields: status %d", fields, resp.StatusCode)
			}
			_ = c.Close() // the test is over
			s.Close()
			time.Sleep(time.Minute) // for what still waits
		})
	}
}

// Many large heads at once wait for each other, and each is read in the end.
func TestManyLargeHeads(t *testing.T) {
	const callers = 300
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		s := pipeliner.New(pipeliner.Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
		go s.Serve(l)
		var served atomic.Int64
		for range callers {
			c := l.dial()
			go func() {
				defer func() { _ = c.Close() }() // the response has been read
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 16<<10))
				time.Sleep(2 * time.Second)
				_, _ = io.WriteString(c, "\r\n\r\n") // a failure shows in the response
				if resp, _ := readResponse(t, bufio.NewReader(c)); resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
			}()
		}
		time.Sleep(time.Minute)
		is.Equal(served.Load(), int64(callers))
		s.Close()
	})
}

// Of the requests that callers send before earlier ones are answered, a bounded number runs at
// once. The others wait, and all are answered in order.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	const requests = 1000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var running, most atomic.Int64
		l := newPipeListener()
		s := pipeliner.New(pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(10 * time.Millisecond)
			running.Add(-1)
			_, _ = io.WriteString(w, r.URL.Path) // a failure shows in the response
		})})
		go s.Serve(l)
		c := l.dial()
		go func() {
			for i := range requests {
				_, _ = io.WriteString(c, get(fmt.Sprint("/", i))) // a failure shows in the response
			}
		}()
		r := bufio.NewReader(c)
		for i := range requests {
			_, body := readResponse(t, r)
			is.Equal(body, fmt.Sprint("/", i))
		}
		is.True(most.Load() > 1)
		is.True(most.Load() <= 300)
		is.NoErr(c.Close())
		s.Close()
		time.Sleep(time.Minute) // for what still waits
	})
}
