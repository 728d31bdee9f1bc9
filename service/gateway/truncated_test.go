package gateway_test

import (
	"bufio"
	"context"
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

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	targetsender "gypsumbeam.example/gypsumbeam/service/targets"
)

const (
	// uploads is the number of uploads of a test, and uploadsAtOnce how many run at once.
	uploads       = 300
	uploadsAtOnce = 20
)

// resetsDuringUpload serves connections at a loopback address. To each request it writes a
// part of a response without a length, short or longer than what a host buffers, and then
// resets the connection. It returns the address.
func resetsDuringUpload(t *testing.T) string {
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
				defer func() { _ = c.Close() }() // the host may have closed it
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				part := strings.Repeat("x", 10+rand.IntN(2)*100_000)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nStamp: s\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), part) // the reset follows anyway
				time.Sleep(time.Duration(rand.Int64N(int64(6 * time.Millisecond))))
				_ = c.(*net.TCPConn).SetLinger(0) // makes Close send a reset
			}()
		}
	}()
	return l.Addr().String()
}

// tcpRelayer implements gateway.Relayer with one other host.
type tcpRelayer struct {
	*targetsender.Sender
	address string
}

func (r *tcpRelayer) Hosts([][]ids.Region) []string { return []string{r.address} }

// newTCPHandler returns the handler of a host that sends requests to the target at an address,
// or relays them to the host at an address.
func newTCPHandler(t *testing.T, target, host string) *gateway.Handler {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		if address != host {
			address = target
		}
		return d.DialContext(ctx, "tcp", address)
	}
	sender := targetsender.NewSender(targetsender.SenderConfig{Dial: dial, OmitTimeout: true})
	t.Cleanup(sender.Close)
	env := &environment{silent: true}
	env.links.cutOff.Store(host != "")
	d := document()
	d.Limits.MaxBodyBytes = 0
	for _, route := range d.Routes {
		route.Timeout = 0 // on a busy machine an upload takes long, and 504 would hide its outcome
	}
	h, _ := newSendingHandler(env, d, sender, uploadsAtOnce, &tcpRelayer{sender, host})
	return h
}

// pacedReader reads a body in parts, with a pause before each, so that the upload is still
// being written when the target resets the connection.
type pacedReader struct{ rest, part int }

func (p *pacedReader) Read(b []byte) (int, error) {
	const pause = 20 * time.Microsecond
	if p.rest == 0 {
		return 0, io.EOF
	}
	time.Sleep(pause)
	n := min(len(b), p.part, p.rest)
	p.rest -= n
	return n, nil
}

// serveAsHost serves a handler by the server that hosts use, and returns its address. The server of
// net/http sometimes waits without end for its own read of an upload that the handler has aborted.
func serveAsHost(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := pipeliner.New(pipeliner.Config{Handler: h, Bounds: func() pipeliner.Bounds { return pipeliner.Bounds{} }})
	go srv.Serve(l)
	t.Cleanup(srv.Close)
	return l.Addr().String()
}

// uploadMany sends uploads to a host, every second one chunked, and returns how many of them
// got a successful response that looks complete.
func uploadMany(t *testing.T, h http.Handler) int64 {
	address := serveAsHost(t, h)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var complete atomic.Int64
	next := make(chan int)
	var all sync.WaitGroup
	for range uploadsAtOnce {
		all.Go(func() {
			for i := range next {
				if uploadOnce(t, client, "http://"+address, i) {
					complete.Add(1)
				}
			}
		})
	}
	for i := range uploads {
		next <- i
	}
	close(next)
	all.Wait()
	return complete.Load()
}

func uploadOnce(t *testing.T, client *http.Client, url string, i int) (complete bool) {
	length := []int{60_000, 400_000, 1_000_000}[i/4%3]
	path := []string{"/pay/1", "/read/1"}[i/2%2]
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, io.NopCloser(&pacedReader{length, 1 << 10 << (i % 4)}))
	if err != nil {
		t.Error(err)
		return false
	}
	r.ContentLength = []int64{-1, int64(length)}[i%2]
	r.Host = "h"
	r.Header = http.Header{"Id": {fmt.Sprint("id-", i)}, "Key": {"k"}, "Timeout": {"60000"}}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // the connection is not used again
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", resp.StatusCode)
	}
	return err == nil && resp.StatusCode == http.StatusOK
}

// A target answers an upload without a length, and resets the connection while the upload is
// being written. No caller may get the part that was sent as a complete response, whether its
// host sent the request itself or relayed it to another host, and also if it is that host
// that answers so.
func TestResetDuringUploadNeverLooksComplete(t *testing.T) {
	target := resetsDuringUpload(t)
	other := serveAsHost(t, newTCPHandler(t, target, "").RelayedHandler())
	for name, h := range map[string]*gateway.Handler{
		"own send":           newTCPHandler(t, target, ""),
		"relayed":            newTCPHandler(t, "", other),
		"reset by the other": newTCPHandler(t, "", target),
	} {
		t.Run(name, func(t *testing.T) {
			complete := uploadMany(t, h)
			t.Logf("%d of %d truncated responses look complete", complete, uploads)
			is.New(t).Equal(complete, int64(0))
		})
	}
}

// A status that is not that of a final response must not reach a caller, from a target or
// from another host, and leaves open whether the request ran.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "-00", "+20", "099", "101", "199", "600", "999", "0200", "20", "2x0"} {
		raw := fmt.Appendf(nil, "HTTP/1.1 %s Any\r\nStamp: s\r\nId: id-1\r\nContent-Length: 4\r\n\r\nbody", status)
		for name, cutOff := range map[string]bool{"own send": false, "relayed": true} {
			for _, path := range []string{"/pay/1", "/read/1"} {
				t.Run(fmt.Sprint(status, " ", name, path), func(t *testing.T) {
					is := is.New(t)
					sender := targetsender.NewSender(targetsender.SenderConfig{Dial: dialRaw(raw), OmitTimeout: true})
					defer sender.Close()
					env := &environment{}
					env.links.cutOff.Store(cutOff)
					h, _ := newSendingHandler(env, document(), sender, 4, &tcpRelayer{sender, "10.0.0.2:1"})
					rec := call(h, http.MethodPost, path, "order")
					is.Equal(rec.Code, http.StatusBadGateway)
					is.Equal(rec.Header().Get("Stamp"), "")
				})
			}
		}
	}
}
