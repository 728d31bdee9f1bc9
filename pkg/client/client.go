// Package client sends requests to services through gypsumbeam's entry hosts.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

const (
	// defaultTries is the number of times that a request is sent at most.
	defaultTries = 3
	// freeDials is the number of failed dials that do not count as tries.
	freeDials = 3
	// idBytes is the number of random bytes of an idempotency key.
	idBytes = 12
	// problemBytes bounds the body of an error that is read.
	problemBytes = 64 << 10
)

// Config holds the settings of a Client.
type Config struct {
	// Entries lists the addresses of entry hosts that are asked first.
	EntryHosts []string
	// Key is the workspace key; it may be empty for open routes.
	WorkspaceKey string
	// Region is the caller's region; it may be empty.
	Region ids.Region
	// Transport sends the requests; nil takes http.DefaultTransport.
	Transport http.RoundTripper
	// Tries bounds how often one request is sent; zero takes 3.
	MaxAttempts int
}

// Client sends requests. Its methods may be called from any goroutine.
type Client struct {
	cfg     Config
	lookups lookups
}

// New returns a Client. It asks for entry hosts when they are first needed.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = http.DefaultTransport
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultTries
	}
	return &Client{cfg: cfg}
}

// Request is one request to a service.
type Request struct {
	Service ids.Service
	Method  string
	// Path is the escaped path and query behind /s/{service}.
	Path   string
	Header http.Header
	Body   []byte
	// Once asks for an idempotency key, so that the request runs at most once
	// however often it is sent.
	Once bool
	// Key is the idempotency key of an earlier Response whose outcome was
	// unknown; with it the same request is sent again.
	IdempotencyKey string
}

// Response is an answer of a target, or a refusal. Body must be closed.
type Response struct {
	*http.Response
	// Outcome tells whether the request ran at a target.
	Outcome refusal.Outcome
	// Code is the reason of a refusal, empty for an answer of a target.
	Code refusal.Code
	// RetryAfter is the wait that a refusal asks for.
	RetryAfter time.Duration
	// Key is the idempotency key that was sent.
	IdempotencyKey string
}

// ErrUnknown says that no answer came and that the request may have run. A
// request with an idempotency key can be sent again with Key.
type ErrUnknownOutcome struct {
	IdempotencyKey string
	Cause          error
}

// Error tells the cause.
func (e *ErrUnknownOutcome) Error() string {
	return "no answer, and the request may have run: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrUnknownOutcome) Unwrap() error { return e.Cause }

// Do sends r, and sends it again where that is safe: to the next entry host
// if it did not run or is idempotent, and to any with the same key if it has
// one. A refusal that asks to wait is waited for only within ctx's deadline.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	t := &trial{c: c, r: r, key: r.IdempotencyKey}
	for try := 0; ; {
		resp, err := t.send(ctx)
		if !t.missed || t.failedDials > freeDials {
			try++
		}
		if try >= c.cfg.MaxAttempts || ctx.Err() != nil || !t.mayRepeat(resp, err) {
			return resp, t.verdict(err)
		}
		wait := t.wait(resp)
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
			return resp, t.verdict(err)
		}
		if resp != nil {
			_ = resp.Body.Close() // It was read whole.
		}
		if sleep(ctx, wait) != nil {
			return nil, t.verdict(ctx.Err())
		}
	}
}

// trial is the series of sends of one request.
type trial struct {
	c    *Client
	r    Request
	key  string
	host callers.EntryHost
	// avoid lists addresses that did not serve this request.
	avoid []string
	// unsure is set once the request may have run.
	unsure bool
	// missed says that no connection was made for the last send, and failedDials
	// counts such sends.
	missed      bool
	failedDials int
}

// send sends the request once. Its error means that no answer came.
func (t *trial) send(ctx context.Context) (*Response, error) {
	t.missed = false
	if err := t.choose(ctx); err != nil {
		return nil, err
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), t.r.Method,
		"http://"+t.host.Address+"/s/"+string(t.r.Service)+t.r.Path, bytes.NewReader(t.r.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range t.r.Header {
		req.Header[name] = values
	}
	t.c.sign(req)
	if t.key != "" {
		req.Header.Set(callers.HeaderIdempotencyKey, t.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(callers.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := t.c.cfg.Transport.RoundTrip(req)
	if err != nil {
		t.avoid = append(t.avoid, t.host.Address)
		// The transport may have sent the request on a connection that broke, and
		// have failed to dial another one.
		t.lost(neverConnected(err) && !connected)
		return nil, err
	}
	return t.read(resp)
}

// lost notes that no answer came. A key of a host that is not there is replaced
// while nothing can have run under it: only that host could run it.
func (t *trial) lost(missed bool) {
	t.missed = missed
	if !missed {
		t.unsure = true
		return
	}
	t.failedDials++
	if !t.unsure && t.r.IdempotencyKey == "" {
		t.key = ""
	}
}

// choose picks the entry host: the one that owns the key as long as it
// answers, else any by weight.
func (t *trial) choose(ctx context.Context) error {
	if t.key != "" && t.host.Address != "" && len(t.avoid) == 0 {
		return nil
	}
	answer, err := t.c.lookup(ctx, t.r.Service)
	if err != nil {
		return err
	}
	host, ok := ownerOf(t.key, answer.EntryHosts, t.avoid)
	if !ok {
		host, ok = pick(answer.EntryHosts, t.avoid)
	}
	if !ok {
		return errs.New("the look-up for service %s names no entry host", t.r.Service)
	}
	t.host = host
	if t.r.Once && t.key == "" {
		t.key = host.IdempotencyPrefix + "." + ids.NewToken(idBytes)
	}
	return nil
}

// sign adds what tells who the caller is.
func (c *Client) sign(r *http.Request) {
	if c.cfg.WorkspaceKey != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.WorkspaceKey)
	}
	if c.cfg.Region != "" {
		r.Header.Set(callers.HeaderRegion, string(c.cfg.Region))
	}
}

// read takes a refusal apart. The body of an answer stays unread.
func (t *trial) read(resp *http.Response) (*Response, error) {
	out := &Response{Response: resp, Outcome: refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome)), IdempotencyKey: t.key}
	t.unsure = t.unsure || out.Outcome != refusal.NotRun
	if resp.Header.Get("Content-Type") != "application/problem+json" || out.Outcome == refusal.Ran {
		return out, nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, problemBytes))
	_ = resp.Body.Close() // It was read.
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	var p struct {
		Code         refusal.Code `json:"code"`
		RetryAfterMs int64        `json:"retryAfterMs"`
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return out, nil //nolint:nilerr // A body that is no problem is left to the caller.
	}
	out.Code = p.Code
	out.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	return out, nil
}

// mayRepeat reports whether the request may be sent again.
func (t *trial) mayRepeat(resp *Response, err error) bool {
	if err != nil {
		return t.key != "" || !t.unsure || idempotent(t.r.Method)
	}
	if resp.Code == "" || resp.RetryAfter == 0 {
		return false
	}
	if ofHost(resp.Code) {
		t.avoid = append(t.avoid, t.host.Address)
	}
	return t.key != "" || resp.Outcome == refusal.NotRun || idempotent(t.r.Method)
}

// wait returns how long to wait before the next send. Another host is asked
// at once.
func (t *trial) wait(resp *Response) time.Duration {
	if resp == nil || ofHost(resp.Code) && t.key == "" {
		return 0
	}
	return resp.RetryAfter
}

// verdict returns the error for the caller of Do.
func (t *trial) verdict(err error) error {
	if err != nil && t.unsure {
		return &ErrUnknownOutcome{IdempotencyKey: t.key, Cause: err}
	}
	return err
}

// ofHost reports whether a refusal concerns the entry host alone.
func ofHost(code refusal.Code) bool {
	return code == refusal.CodeNotServing || code == refusal.CodeLeaving
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// neverConnected reports whether the last try to connect failed.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
