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
	"testing/synctest"

	"github.com/matryer/is"
)

// repeatingTarget refuses the first request of its first connection, and responds to the
// next one with the same refusal once more, though it runs that.
type repeatingTarget struct {
	refusal string
	conns   atomic.Int64
	runs    atomic.Int64
}

func (d *repeatingTarget) dial(context.Context, string) (net.Conn, error) {
	return pipeTo(func(c net.Conn) { d.serve(c, d.conns.Add(1) == 1) }), nil
}

func (d *repeatingTarget) serve(c net.Conn, faulty bool) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		resp := d.refusal
		if !faulty || n > 1 {
			resp = fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		}
		if n > 0 || !faulty {
			d.runs.Add(1)
		}
		if _, err := io.WriteString(c, resp); err != nil {
			return
		}
	}
}

// A refusal that a target writes once more on a kept connection must not be taken for the
// answer to the next request: that one ran, so its caller must not be told that it did not,
// and it must not run at another target.
func TestRepeatedRefusal(t *testing.T) {
	const end = "Content-Length: 0\r\n\r\n"
	for name, refusal := range map[string]string{
		"busy":                "HTTP/1.1 503 Service Unavailable\r\nShed: 1\r\nId: id-0\r\nRetry-After: 0.1\r\n" + end,
		"busy, without ID":    "HTTP/1.1 503 Service Unavailable\r\nShed: 1\r\n" + end,
		"limited":             "HTTP/1.1 429 Too Many Requests\r\nShed: 1\r\nId: id-0\r\n" + end,
		"limited, without ID": "HTTP/1.1 429 Too Many Requests\r\nShed: 1\r\n" + end,
		"reused":              "HTTP/1.1 421 Misdirected Request\r\nId: id-0\r\n" + end,
		"reused, without ID":  "HTTP/1.1 421 Misdirected Request\r\n" + end,
		"not marked":          "HTTP/1.1 503 Service Unavailable\r\n" + end,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := &repeatingTarget{refusal: refusal}
				h, _, closeAll := newSingleTargetHandler(target.dial)
				defer closeAll()
				for i := range 4 {
					before := target.runs.Load()
					status := call(h, http.MethodPost, "/pay/1", "order", "Id", fmt.Sprint("id-", i)).Code
					ran := target.runs.Load() - before
					is.True(ran <= 1)
					if ran > 0 {
						is.True(status == http.StatusOK || status == http.StatusBadGateway)
					}
				}
			})
		})
	}
}
