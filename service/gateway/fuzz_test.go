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
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	targetsender "gypsumbeam.example/gypsumbeam/service/targets"
)

// dialRaw opens connections to a target that answers each request with the same
// bytes, whatever it was asked, and then ends the connection.
func dialRaw(answer []byte) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body) // The request may break off.
				_, _ = far.Write(answer)
			}
			_ = far.Close()
		}()
		return near, nil
	}
}

// final returns the answer that the bytes hold behind interim ones, and its body if
// that is whole.
func final(answer []byte) (*http.Response, []byte, bool) {
	r := bufio.NewReader(bytes.NewReader(answer))
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

// withOneTarget returns a handler with one target that is reached by dial, what it
// chooses the target with, and what closes its connections.
func withOneTarget(dial func(context.Context, string) (net.Conn, error)) (*gateway.Handler, *balancer.Balancer, func()) {
	w := &world{}
	w.router.Store(router.New(document()))
	p := balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east"}})
	p.SetTargets([]registrar.Target{{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 4}})
	sender := targetsender.NewSender(targetsender.SenderConfig{Dial: dial, OmitTimeout: true})
	h := gateway.New(gateway.Config{
		HeaderCodec: plainHeaders{}, RouterSource: w, Confirmer: w, Placer: p, RateLimiter: w, Sender: sender,
		RetryBudget: &retrier.Budget{}, Recorder: w,
		MaxConfirmationAge: func() time.Duration { return keyBound },
		RetryRatio:         func() float64 { return 1 },
	})
	return h, p, sender.Close
}

// rawWorld serves one request by a target that answers with raw bytes.
func rawWorld(answer []byte) *httptest.ResponseRecorder {
	h, _, closeAll := withOneTarget(dialRaw(answer))
	defer closeAll()
	return call(h, http.MethodPost, "/pay/1", "body", "Patience", "300")
}

// Whatever a target answers, a caller gets a success only if the bytes hold one
// that is whole, signed and its own, and then just that body; and a promise that
// nothing ran only if the target gave it.
func FuzzTargetAnswer(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\n"
	for _, s := range []string{
		head + "Content-Length: 4\r\n\r\nbody", head + "Content-Length: 10\r\n\r\nbody", head + "Content-Length: 2\r\n\r\nbody",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		head + "\r\nuntil the end", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-2\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 503 Busy\r\nShed: 1\r\nId: id-1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 None\r\nStamp: s\r\nId: id-1\r\n\r\n", "\x00\xff", "",
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", head + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		rec, broken := tryRaw(answer)
		if broken {
			return // The caller's connection was cut.
		}
		resp, body, whole := final(answer)
		got := rec.Result()
		if got.StatusCode >= 200 && got.StatusCode < 300 {
			if resp == nil || !whole || resp.StatusCode != got.StatusCode || resp.Header.Get("Stamp") == "" || resp.Header.Get("Id") != "id-1" {
				t.Fatalf("success %d from %q", got.StatusCode, answer)
			}
			if !bytes.Equal(rec.Body.Bytes(), body) {
				t.Fatalf("body %q from %q", rec.Body.Bytes(), answer)
			}
		}
		if got.StatusCode == http.StatusServiceUnavailable && !strings.Contains(strings.ToLower(string(answer)), "shed") {
			told := resp != nil && resp.StatusCode == http.StatusMisdirectedRequest
			if !told {
				t.Fatalf("a promise from %q", answer)
			}
		}
	})
}

// tryRaw reports whether the caller's connection would have been cut.
func tryRaw(answer []byte) (rec *httptest.ResponseRecorder, broken bool) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			broken = true
		default:
			panic(v)
		}
	}()
	return rawWorld(answer), false
}
