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

// cutTarget responds with the beginning of a response and closes the connection.
type cutTarget struct {
	beginning string
	requests  atomic.Int64
}

func (d *cutTarget) dial(context.Context, string) (net.Conn, error) {
	return pipeTo(func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return // the caller only asks whether the target listens
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		d.requests.Add(1)
		_, _ = io.WriteString(c, d.beginning) // the caller may have closed it
	}), nil
}

// Wherever in the head of its response or in its body a target stops and closes, no caller
// gets a success that looks complete, and no request is sent again that may have run.
func TestResponseCutAnywhere(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\nContent-Type: text/plain\r\n"
		body = "0123456789abcdef0123456789abcdef"
	)
	for name, response := range map[string]string{
		"with length":    head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks":      head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"without length": head + "Connection: close\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			for cut := range len(response) {
				is := is.New(t)
				target := &cutTarget{beginning: response[:cut]}
				h, _, closeAll := newSingleTargetHandler(target.dial)
				if sendComplete(h) {
					t.Errorf("%s: a response that ends after %q looks complete", name, response[max(0, cut-20):cut])
				}
				is.Equal(target.requests.Load(), int64(1))
				closeAll()
			}
			if name != "without length" { // its end cannot be told from a cut
				target := &cutTarget{beginning: response}
				h, _, closeAll := newSingleTargetHandler(target.dial)
				defer closeAll()
				if !sendComplete(h) {
					t.Errorf("%s: the whole response was not passed on", name)
				}
			}
		})
	}
}
