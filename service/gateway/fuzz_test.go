package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	targetsender "gypsumbeam.example/gypsumbeam/service/targets"
)

// dialRaw returns a dial function for a target that responds to each request with the
// same bytes and closes the connection.
func dialRaw(raw []byte) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body) // the request may be aborted
				_, _ = server.Write(raw)
			}
			_ = server.Close()
		}()
		return client, nil
	}
}

// finalResponse parses the first response that is not an interim one, and its body. It
// returns false if the response is incomplete.
func finalResponse(raw []byte) (*http.Response, []byte, bool) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, nil, false
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			body, err := io.ReadAll(resp.Body)
			return resp, body, err == nil
		}
	}
}

// newSingleTargetHandler returns a handler with one target that is reached by dial, its
// balancer, and a function that closes its idle connections.
func newSingleTargetHandler(dial func(context.Context, string) (net.Conn, error)) (*gateway.Handler, *balancer.Balancer, func()) {
	sender := targetsender.NewSender(targetsender.SenderConfig{Dial: dial, OmitTimeout: true})
	env := &environment{}
	h, lb := newSendingHandler(env, document(), sender, 4, &env.hosts)
	return h, lb, sender.Close
}

// newSendingHandler returns a handler with one target, which has a number of slots, and its
// balancer.
func newSendingHandler(env *environment, d router.Document, sender gateway.Sender, slots int, relayer gateway.Relayer) (*gateway.Handler, *balancer.Balancer) {
	env.router.Store(router.New(d))
	lb := balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east"}})
	lb.SetTargets([]registrar.Target{{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: slots}})
	h := gateway.New(gateway.Config{
		Isolator:    &isolator.Isolator{},
		HeaderCodec: testCodec{}, RouterSource: env, Confirmer: env, Balancer: lb, RateLimiter: env, Sender: sender,
		RetryBudget: &retrier.Budget{}, Recorder: env, Watchdog: &env.links, Relayer: relayer,
		MaxConfirmationAge: func() time.Duration { return maxConfirmationAge },
		Outdated:           func() bool { return false },
		RetryRatio:         func() float64 { return 1 },
	})
	return h, lb
}

// serveRaw serves one request whose target responds with the given bytes.
func serveRaw(raw []byte) *httptest.ResponseRecorder {
	h, _, closeAll := newSingleTargetHandler(dialRaw(raw))
	defer closeAll()
	return call(h, http.MethodPost, "/pay/1", "body", "Timeout", "300")
}

// Whatever a target sends, a caller may get a successful response only if the target's
// is complete, stamped and for this request, and then exactly its body. It may be told
// that nothing ran only if the target said so.
func FuzzTargetAnswer(f *testing.F) {
	header := "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\n"
	for _, s := range []string{
		header + "Content-Length: 4\r\n\r\nbody", header + "Content-Length: 10\r\n\r\nbody", header + "Content-Length: 2\r\n\r\nbody",
		header + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", header + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		header + "\r\nuntil the end", "HTTP/1.1 100 Continue\r\n\r\n" + header + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-2\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 503 Busy\r\nShed: 1\r\nId: id-1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 None\r\nStamp: s\r\nId: id-1\r\n\r\n", "\x00\xff", "",
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", header + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec, aborted := tryRaw(raw)
		if aborted {
			return // the caller's connection was aborted
		}
		resp, body, complete := finalResponse(raw)
		got := rec.Result()
		if got.StatusCode >= 200 && got.StatusCode < 300 {
			if resp == nil || !complete || resp.StatusCode != got.StatusCode || resp.Header.Get("Stamp") == "" || resp.Header.Get("Id") != "id-1" {
				t.Fatalf("success with status %d from %q", got.StatusCode, raw)
			}
			if !bytes.Equal(rec.Body.Bytes(), body) {
				t.Fatalf("success with body %q from %q", rec.Body.Bytes(), raw)
			}
		}
		if got.StatusCode == http.StatusServiceUnavailable && !strings.Contains(strings.ToLower(string(raw)), "shed") {
			saidNotRun := resp != nil && resp.StatusCode == http.StatusMisdirectedRequest
			if !saidNotRun {
				t.Fatalf("status 503 tells that nothing ran, which the target did not say: %q", raw)
			}
		}
	})
}

// tryRaw is like serveRaw, and reports whether the caller's connection was aborted.
func tryRaw(raw []byte) (rec *httptest.ResponseRecorder, aborted bool) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			aborted = true
		default:
			panic(v)
		}
	}()
	return serveRaw(raw), false
}
