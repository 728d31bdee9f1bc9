package targets_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/service/targets"
)

const (
	// uploads is the number of uploads of a test, and uploadsAtOnce how many run at once.
	uploads       = 1000
	uploadsAtOnce = 20
	unlimited     = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

// listenTCP serves each connection at a loopback address by serve, which gets the first
// request, and then closes it. It returns the address.
func listenTCP(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }() // the sender may have closed it
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a body, chunked or with its length, behind a header with some padding. It
// returns the body of the response and whether that looks complete.
func upload(t *testing.T, to string, body io.Reader, length int64, padding int) (text []byte, complete bool) {
	sender := targets.NewSender(targets.SenderConfig{})
	defer sender.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/upload", io.NopCloser(body))
	if err != nil {
		t.Error(err)
		return nil, false
	}
	if r.ContentLength = length; length == 0 {
		r.Body = nil
	}
	r.Header.Set("Padding", strings.Repeat("x", padding))
	resp, _, err := sender.Send(ctx, to, r)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }() // the connection is not used again
	text, err = io.ReadAll(resp.Body)
	return text, err == nil
}

// pacedReader reads a body in parts, with a pause before each, so that the upload is still
// being written when the target resets the connection.
type pacedReader struct {
	rest []byte
	part int
}

func (p *pacedReader) Read(b []byte) (int, error) {
	const pause = 20 * time.Microsecond
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(pause)
	n := copy(b, p.rest[:min(p.part, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

// uploadMany sends uploads of different sizes, every second one chunked, and returns how many
// of them got a response that looks complete and has the given body.
func uploadMany(t *testing.T, n int, to, want string) int {
	var complete atomic.Int64
	next := make(chan int)
	var all sync.WaitGroup
	for range uploadsAtOnce {
		all.Go(func() {
			for i := range next {
				body := bytes.Repeat([]byte{'x'}, []int{60_000, 250_000, 800_000, 2_000_000}[i/2%4])
				length := int64(len(body))
				if i%2 == 0 {
					length = -1
				}
				if text, ok := upload(t, to, &pacedReader{body, 1 << 10 << (i % 4)}, length, 0); ok && string(text) == want {
					complete.Add(1)
				}
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	all.Wait()
	return int(complete.Load())
}

// A target answers an upload at once, without a length, sends a part of its response, and
// resets the connection while the upload is being written. The failed write takes the reset,
// and the read that follows sees an end like that of a complete response.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const part = "a part"
	to := listenTCP(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, rand.Int64N(2)*rand.Int64N(100_000)) // the reset follows anyway
		_, _ = io.WriteString(c, unlimited+part)
		time.Sleep(time.Duration(rand.Int64N(int64(6 * time.Millisecond))))
		_ = c.SetLinger(0) // makes Close send a reset
	})
	complete := uploadMany(t, uploads, to, part)
	t.Logf("%d of %d truncated responses look complete", complete, uploads)
	is.New(t).Equal(complete, 0)
}

// Responses that are complete must not be taken for truncated ones: early ones that tell their
// length, and later ones that end with the connection.
func TestCompleteResponsesToUploads(t *testing.T) {
	const text = "the whole response"
	for name, response := range map[string]string{
		"early, with length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text),
		"early, in chunks":    fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text),
		"late, until the end": unlimited + text,
	} {
		t.Run(name, func(t *testing.T) {
			const n = 200
			late := response == unlimited+text
			to := listenTCP(t, func(c *net.TCPConn, r *http.Request) {
				if !late {
					_, _ = io.WriteString(c, response) // the caller sees a failure
				}
				if _, err := io.Copy(io.Discard, r.Body); err == nil && late {
					_, _ = io.WriteString(c, response) // the caller sees a failure
				}
			})
			is.New(t).Equal(uploadMany(t, n, to, text), n)
		})
	}
}

// A response that ends with its connection is complete wherever the header of its request
// ends in the write buffer, and whether or not it has a body.
func TestResponseUntilTheEndWithLongHeader(t *testing.T) {
	is := is.New(t)
	to := listenTCP(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)          // closing with unread bytes would reset the connection
		_, _ = io.WriteString(c, unlimited+"whole") // the caller sees a failure
	})
	for padding := 3900; padding < 4100; padding++ { // the buffer has 4,096 bytes
		for _, length := range []int64{-1, 0, 1} {
			text, ok := upload(t, to, strings.NewReader("x"[:max(length, 0)]), length, padding)
			is.True(ok)
			is.Equal(string(text), "whole")
		}
	}
}

// A target that closes its connection in an orderly way before the whole request was written
// may have been killed, so that its response is not complete.
func TestCloseBeforeEndOfUploadIsNoEndOfResponse(t *testing.T) {
	to := listenTCP(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, unlimited+"a part") // the caller sees a failure
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c) // until the sender closes the connection
	})
	for _, length := range []int64{-1, 100_000} {
		body, end := io.Pipe()
		go func() { _, _ = end.Write(make([]byte, 90_000)) }() // the rest never comes
		_, complete := upload(t, to, body, length, 0)
		is.New(t).True(!complete)
		_ = errors.Join(end.Close(), body.Close())
	}
}
