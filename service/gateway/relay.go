package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Header fields between hosts.
const (
	// HeaderRelay is on each request that one host passes on to another one. Its value is
	// the number of targets to which the request may still be sent.
	HeaderRelay = "Gypsum-Relay"
	// headerRelayRefused is on the response of a host that refuses such a request because
	// of its own state.
	headerRelayRefused = "Gypsum-Relay-Refused"
)

// maxRelays is how many hosts a request is passed on to, one after the other.
const maxRelays = 3

// RelayedHandler returns the handler of requests that other hosts pass on. They go to
// targets, and never to a further host.
func (h *Handler) RelayedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sends, err := strconv.Atoi(r.Header.Get(HeaderRelay))
		if err != nil || sends <= 0 {
			http.Error(w, HeaderRelay+" is no positive number", http.StatusBadRequest)
			return
		}
		r.Header.Del(HeaderRelay)
		h.relayed.Add(1)
		defer h.relayed.Add(-1)
		h.handle(&request{h: h, w: w, r: r, fromHost: true, maxSends: sends})
		_ = http.NewResponseController(w).Flush() // a failure means that the other host is gone
	})
}

// DrainRelayed waits until no request of another host is in progress, and their responses are
// written, or until ctx ends.
func (h *Handler) DrainRelayed(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	for h.relayed.Load() > 0 {
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// mayRelay reports whether the request is to be passed on to another host, as this one is cut
// off from the targets.
func (q *request) mayRelay() bool { return !q.fromHost && q.h.cfg.Watchdog.CutOff() }

// errLinkLost is the cause that ends an attempt when this host is found to be cut off.
var errLinkLost = errors.New("the links to the targets are lost")

// cancelIfCutOff calls cancel if this host is found to be cut off while an idempotent request
// waits for its target, so that another host can serve it. The returned function ends that.
func (q *request) cancelIfCutOff(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	if q.fromHost || !q.route.Kind.Idempotent() {
		return func() {}
	}
	lost, done := q.h.cfg.Watchdog.Lost(), make(chan struct{})
	go func() {
		select {
		case <-lost:
			cancel(errLinkLost)
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() { close(done) }
}

// relay passes the request on to one host after another until one of them responds, or
// another send is not safe.
func (q *request) relay(ctx context.Context, p progress) {
	for n, address := range q.relayHosts() {
		if p.sends >= q.maxSends || (n > 0 && !q.body.Replayable()) {
			break
		}
		res := q.relayTo(ctx, address, q.maxSends-p.sends)
		if q.add(&p, res); res.usable || !res.notRun || ctx.Err() != nil {
			break // the host may have used up all sends
		}
	}
	switch {
	case p.last == nil:
		q.giveUp(ctx, reasonCutOff, retryAfterNotReady)
	case p.last.usable:
		q.writeResponse(p.last)
	default:
		q.giveUp(ctx, p.last.reason, retryAfterNotReady)
	}
}

// relayHosts returns the hosts that the request may be passed on to, the first one first.
func (q *request) relayHosts() []string {
	homes := [][]ids.Region{q.route.HomeRegions}
	if q.ws != nil {
		homes = append(homes, q.ws.HomeRegions)
	}
	hosts := q.h.cfg.Relayer.Hosts(homes)
	return hosts[:min(len(hosts), maxRelays)]
}

// relayTo passes the request on to one host, which may send it to a number of targets.
func (q *request) relayTo(ctx context.Context, address string, sends int) *result {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	res := q.relayExchange(ctx, address, sends)
	release := func() {
		cancel()
		if res.resp != nil {
			_ = res.resp.Body.Close() // the rest is not needed
		}
	}
	if res.usable && res.stream {
		res.release = sync.OnceFunc(release)
	} else {
		release()
	}
	q.record.Attempts = append(q.record.Attempts, Attempt{
		Relay: address, Elapsed: time.Since(start), Result: res.reason,
	})
	return res
}

// relayExchange sends the request to one host. What that host responds is passed on, also a
// refusal, unless the reason is the host's own state or the status is invalid.
func (q *request) relayExchange(ctx context.Context, address string, sends int) *result {
	resp, wrote, err := q.h.cfg.Relayer.Do(ctx, address, q.relayRequest(ctx, address, sends)) //nolint:bodyclose // relayTo closes the body
	if err != nil {
		return q.failure(ctx, wrote)
	}
	res := &result{resp: resp}
	if !isFinal(resp.StatusCode) {
		res.reason = "notItsAnswer"
		closeConnection(resp)
		return res
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerRelayRefused) != "" {
		res.reason, res.notRun = reasonCutOff, true
		return res
	}
	if q.readBody(res); res.usable {
		res.reason = "relayed"
		res.notRun = attestor.PromisesNotRun(resp.StatusCode)
	}
	return res
}

// relayRequest returns the request to send to another host.
func (q *request) relayRequest(ctx context.Context, address string, sends int) *http.Request {
	header := endToEnd(q.r.Header)
	q.h.cfg.HeaderCodec.WriteRelay(header, q.record.Timeout-time.Since(q.start))
	header.Set(HeaderRelay, strconv.Itoa(sends))
	return q.outgoing(ctx, address, header)
}

// outgoing returns the request as it is sent on, with the given header. It keeps net/http
// from sending it again by itself.
func (q *request) outgoing(ctx context.Context, address string, header http.Header) *http.Request {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	u := *q.url
	u.Host = address
	r := &http.Request{
		Method: q.r.Method, URL: &u, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: q.r.ContentLength,
	}
	if q.r.ContentLength != 0 || !q.route.Kind.Idempotent() {
		// A non-nil body keeps net/http from retrying a request without one.
		r.Body = q.body.NewReader()
	}
	return r.WithContext(ctx)
}
