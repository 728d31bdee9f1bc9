package targets_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/service/targets"
)

// endOfConnection answers the first request of a connection with a response, and returns how the
// connection ends. began is closed when the request has come.
func endOfConnection(l net.Listener, response string, began chan<- struct{}) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // it has ended
	br := bufio.NewReader(c)
	if _, err := http.ReadRequest(br); err != nil {
		return err
	}
	close(began)
	if _, err := io.WriteString(c, response); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // a closed connection fails the read
	_, err = br.ReadByte()
	return err
}

// Guards against a request that is given up and that the kernel goes on to deliver, and against a
// reset of a connection whose request was answered.
func TestOnlyGivenUpSendsAreReset(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		response string
		// end ends the send, or closes the sender.
		end   func(cancel context.CancelFunc, s *targets.Sender)
		reset bool
	}{
		"no response, cancelled":        {"", func(cancel context.CancelFunc, _ *targets.Sender) { cancel() }, true},
		"no response, sender closed":    {"", func(_ context.CancelFunc, s *targets.Sender) { s.Close() }, true},
		"part of a response, cancelled": {whole[:len(whole)-1], func(cancel context.CancelFunc, _ *targets.Sender) { cancel() }, true},
		"answered, sender closed":       {whole, func(_ context.CancelFunc, s *targets.Sender) { s.Close() }, false},
		"answered, then cancelled": {whole, func(cancel context.CancelFunc, s *targets.Sender) {
			cancel()
			s.Close()
		}, false},
		"answered without a body": {"HTTP/1.1 204 No Content\r\n\r\n", func(cancel context.CancelFunc, s *targets.Sender) {
			cancel()
			s.Close()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			began, ended := make(chan struct{}), make(chan error, 1)
			go func() { ended <- endOfConnection(l, c.response, began) }()
			s := targets.NewSender(targets.SenderConfig{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://x/", nil)
				is.NoErr(err)
				resp, _, err := s.Send(ctx, l.Addr().String(), r)
				if err != nil {
					return // it was given up
				}
				_, _ = io.ReadAll(resp.Body) // it may be given up
				_ = resp.Body.Close()        // it has been read
			}()
			<-began
			if c.reset {
				time.Sleep(20 * time.Millisecond) // the response is being read
			} else {
				<-done
			}
			c.end(cancel, s)
			is.Equal(errors.Is(<-ended, syscall.ECONNRESET), c.reset)
			<-done
			is.NoErr(l.Close())
		})
	}
}
