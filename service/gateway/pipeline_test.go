package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

const (
	// longBytes is the length of a response that is streamed.
	longBytes = 100 << 10
	// breakTime is the time after which a response breaks off.
	breakTime = 50 * time.Millisecond
)

// breaking reads most of a response, and fails a time later.
type breaking struct{ rest int }

func (b *breaking) Read(p []byte) (int, error) {
	if b.rest == 0 {
		time.Sleep(breakTime)
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.rest)
	b.rest -= n
	return n, nil
}

// breakOff is a long response that its target breaks off.
func breakOff() reply {
	return func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
		resp, wrote, err := respond(http.StatusOK, "")(ctx, r)
		resp.ContentLength = longBytes
		resp.Body = io.NopCloser(&breaking{longBytes * 3 / 4})
		return resp, wrote, err
	}
}

// withConnection runs f with a caller's connection to a server of the handler.
func withConnection(t *testing.T, replies []reply, f func(env *environment, c net.Conn)) {
	withHandler(t, replies, func(env *environment, h *gateway.Handler) {
		const address = "10.0.0.1:80"
		var network memnet.Network
		l, err := network.Listen(address)
		if err != nil {
			t.Error(err)
			return
		}
		s := pipeliner.New(pipeliner.Config{Handler: h})
		go s.Serve(l)
		c, err := network.Dialer("10.0.0.2")(context.Background(), address)
		if err != nil {
			t.Error(err)
			return
		}
		f(env, c)
		_ = c.Close() // the test is over
		s.Close()
		time.Sleep(time.Minute) // for what still waits
	})
}

func sendRead(c io.Writer, n int) error {
	_, err := fmt.Fprintf(c, "GET /read/%d HTTP/1.1\r\nHost: h\r\nId: id-%d\r\nKey: k\r\n\r\n", n, n)
	return err
}

// Guards against a response that is broken off and takes along the requests behind it, which sound
// targets serve: it is sent again instead.
func TestBrokenResponseLeavesRequestsBehind(t *testing.T) {
	long := strings.Repeat("x", longBytes)
	replies := []reply{after(breakTime, breakOff()), after(2*breakTime, respond(http.StatusOK, "two")), respond(http.StatusOK, long)}
	withConnection(t, replies, func(_ *environment, c net.Conn) {
		is := is.New(t)
		is.NoErr(sendRead(c, 1))
		time.Sleep(time.Millisecond) // the replies are in order of the sends
		is.NoErr(sendRead(c, 2))
		br := bufio.NewReader(c)
		for _, want := range []string{long, "two"} {
			resp, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(string(body) == want)
		}
	})
}

// Guards against requests that begin behind a response that is passed on before it is whole, and
// that are lost if it is broken off.
func TestNoRequestBeginsBehindStreamedResponse(t *testing.T) {
	withConnection(t, []reply{breakOff()}, func(env *environment, c net.Conn) {
		is := is.New(t)
		is.NoErr(sendRead(c, 1))
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil) // it is being passed on
		is.NoErr(err)
		is.NoErr(sendRead(c, 2))
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
		is.Equal(len(env.sender.sends), 1)
	})
}
