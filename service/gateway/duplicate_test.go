package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// duplicatingTarget responds twice to the first request on its first connection. It
// sends the second copy when the next request has arrived, so that from then on the
// connection is one response behind.
type duplicatingTarget struct {
	body  string
	conns atomic.Int64
}

func (d *duplicatingTarget) dial(context.Context, string) (net.Conn, error) {
	return pipeTo(func(c net.Conn) { d.serve(c, d.conns.Add(1) == 1) }), nil
}

// pipeTo returns a connection whose other end is served by serve and then closed.
func pipeTo(serve func(c net.Conn)) net.Conn {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }() // the caller may have closed it
		serve(server)
	}()
	return client
}

func (d *duplicatingTarget) serve(c net.Conn, duplicate bool) {
	r := bufio.NewReader(c)
	last := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		resp := fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(d.body), d.body)
		if n > 0 && duplicate {
			resp, last = last, resp
		} else {
			last = resp
		}
		if _, err := io.WriteString(c, resp); err != nil {
			return
		}
	}
}

// A duplicate response that arrives late, on a connection that is in use again, must
// not reach a caller, and may fail only one request, as the connection must not be
// reused.
func TestDuplicateResponse(t *testing.T) {
	for _, body := range []string{"", "body"} {
		t.Run(fmt.Sprintf("%dBytes", len(body)), func(t *testing.T) {
			is := is.New(t)
			target := &duplicatingTarget{body: body}
			h, _, closeAll := newSingleTargetHandler(target.dial)
			defer closeAll()
			var statuses []int
			for i := range 5 {
				id := fmt.Sprint("id-", i)
				rec := call(h, http.MethodPost, "/pay/1", "order", "Id", id)
				statuses = append(statuses, rec.Code)
				if rec.Code == http.StatusOK {
					is.Equal(rec.Header().Get("Id"), id)
					is.Equal(rec.Body.String(), body)
				}
			}
			is.Equal(statuses, []int{200, 502, 200, 200, 200})
		})
	}
}
