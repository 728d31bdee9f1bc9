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

// repeater is a target that answers the first request on its first connection twice,
// the second time just when the next request has come. From then on the connection is
// one answer behind.
type repeater struct {
	body  string
	conns atomic.Int64
}

func (p *repeater) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.serve(far, p.conns.Add(1) == 1)
	return near, nil
}

func (p *repeater) serve(c net.Conn, repeats bool) {
	defer func() { _ = c.Close() }() // The caller may have closed it.
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
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(p.body), p.body)
		if n > 0 && repeats {
			answer, last = last, answer
		} else {
			last = answer
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// A second copy of an answer that comes late, on a connection that is in use again,
// reaches no caller, and costs one request only: the connection is out of step.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	for _, body := range []string{"", "body"} {
		t.Run(fmt.Sprintf("%dBytes", len(body)), func(t *testing.T) {
			is := is.New(t)
			target := &repeater{body: body}
			h, _, closeAll := withOneTarget(target.dial)
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
