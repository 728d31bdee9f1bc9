// Package client sends requests to services through gypsumbeam's entry hosts. It
// looks up entry hosts, caches the answers, and retries where that is safe. Callers
// create a Client with New and call Do for each request.
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
	// defaultMaxAttempts is the default of Config.MaxAttempts.
	defaultMaxAttempts = 3
	// maxFreeDials is the number of failed dials that do not count as attempts.
	maxFreeDials = 3
	// keyTokenBytes is the number of random bytes of an idempotency key.
	keyTokenBytes = 12
	// maxProblemBytes bounds the body of a refusal.
	maxProblemBytes = 64 << 10
)

// Config configures a Client. Only EntryHosts is required.
type Config struct {
	// EntryHosts lists the addresses of the entry hosts that are asked for the first
	// look-up. Later ones also ask the hosts in the last answer.
	EntryHosts []string
	// WorkspaceKey may be empty for open routes.
	WorkspaceKey string
	// Region is the caller's region; empty means unknown.
	Region ids.Region
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// MaxAttempts bounds how often one request is sent; zero means 3.
	MaxAttempts int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg     Config
	lookups lookupCache
}

// New returns a Client. It looks up entry hosts at the first request.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = http.DefaultTransport
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	return &Client{cfg: cfg}
}

// Request is one request to a service.
type Request struct {
	Service ids.Service
	Method  string
	// Path is the escaped path and query after /s/{service}.
	Path   string
	Header http.Header
	Body   []byte
	// Once sends an idempotency key, so that the request runs at most once however
	// often it is sent.
	Once bool
	// IdempotencyKey is the key of an earlier Response or ErrUnknownOutcome, to send
	// the same request again; empty for a new request.
	IdempotencyKey string
}

// Response is the response of a target, or a refusal. The caller must close Body.
type Response struct {
	*http.Response
	// Outcome tells whether the request ran at a target.
	Outcome refusal.Outcome
	// Code is the reason of a refusal, empty for the response of a target.
	Code refusal.Code
	// RetryAfter is the wait that a refusal asks for; zero if waiting does not help.
	RetryAfter time.Duration
	// IdempotencyKey is the key that was sent, empty if none.
	IdempotencyKey string
}

// ErrUnknownOutcome is returned if no response came and the request may have run. If
// IdempotencyKey is set, the request can safely be sent again with it.
type ErrUnknownOutcome struct {
	IdempotencyKey string
	Cause          error
}

// Error implements error.
func (e *ErrUnknownOutcome) Error() string {
	return "no response, and the request may have run: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *ErrUnknownOutcome) Unwrap() error { return e.Cause }

// Do sends r and retries while that is safe: if the request did not run, if its
// method is idempotent, or if it has an idempotency key. It waits as long as a refusal
// asks for, but returns the refusal if the wait would exceed ctx's deadline. A refusal
// is a Response, not an error. The error is an *ErrUnknownOutcome if the request may
// have run by one of these attempts.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	call := &call{client: c, request: r, idempotencyKey: r.IdempotencyKey}
	for attempts := 0; ; {
		resp, err := call.send(ctx)
		if !call.dialFailed || call.failedDials > maxFreeDials {
			attempts++
		}
		if attempts >= c.cfg.MaxAttempts || ctx.Err() != nil || !call.mayRetry(resp, err) {
			return resp, call.finalError(err)
		}
		wait := call.retryDelay(resp)
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
			return resp, call.finalError(err)
		}
		if resp != nil {
			_ = resp.Body.Close() // The body was read to its end.
		}
		if sleep(ctx, wait) != nil {
			return nil, call.finalError(ctx.Err())
		}
	}
}

// call is one call of Do, with the state of its attempts.
type call struct {
	client         *Client
	request        Request
	idempotencyKey string
	host           callers.EntryHost
	// failedAddresses lists entry hosts that did not serve this request.
	failedAddresses []string
	// mayHaveRun is set once the request may have run.
	mayHaveRun bool
	// dialFailed is set if the last attempt got no connection; failedDials counts
	// such attempts.
	dialFailed  bool
	failedDials int
}

// send sends the request once. An error means that no response came.
func (c *call) send(ctx context.Context) (*Response, error) {
	c.dialFailed = false
	if err := c.chooseHost(ctx); err != nil {
		return nil, err
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.request.Method,
		"http://"+c.host.Address+"/s/"+string(c.request.Service)+c.request.Path, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range c.request.Header {
		req.Header[name] = values
	}
	c.client.addCallerHeaders(req)
	if c.idempotencyKey != "" {
		req.Header.Set(callers.HeaderIdempotencyKey, c.idempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(callers.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := c.client.cfg.Transport.RoundTrip(req)
	if err != nil {
		c.failedAddresses = append(c.failedAddresses, c.host.Address)
		// A dial error alone does not prove that nothing was sent: the transport may
		// have used a connection that broke, and then failed to dial another one.
		c.recordNoResponse(isDialError(err) && !connected)
		return nil, err
	}
	return c.readResponse(resp)
}

// recordNoResponse records that no response came. The idempotency key of a host that
// cannot be reached is dropped if nothing can have run under it, since only the host
// that owns the key can run the request.
func (c *call) recordNoResponse(dialFailed bool) {
	c.dialFailed = dialFailed
	if !dialFailed {
		c.mayHaveRun = true
		return
	}
	c.failedDials++
	if !c.mayHaveRun && c.request.IdempotencyKey == "" {
		c.idempotencyKey = ""
	}
}

// chooseHost sets the entry host for the next attempt: the owner of the idempotency
// key unless it failed, else one by weight. It also creates the idempotency key.
func (c *call) chooseHost(ctx context.Context) error {
	if c.idempotencyKey != "" && c.host.Address != "" && len(c.failedAddresses) == 0 {
		return nil
	}
	answer, err := c.client.lookup(ctx, c.request.Service)
	if err != nil {
		return err
	}
	host, ok := ownerOf(c.idempotencyKey, answer.EntryHosts, c.failedAddresses)
	if !ok {
		host, ok = pickByWeight(answer.EntryHosts, c.failedAddresses)
	}
	if !ok {
		return errs.New("the look-up of service %s returned no entry host", c.request.Service)
	}
	c.host = host
	if c.request.Once && c.idempotencyKey == "" {
		c.idempotencyKey = host.IdempotencyPrefix + "." + ids.NewToken(keyTokenBytes)
	}
	return nil
}

// addCallerHeaders adds the workspace key and the caller's region.
func (c *Client) addCallerHeaders(r *http.Request) {
	if c.cfg.WorkspaceKey != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.WorkspaceKey)
	}
	if c.cfg.Region != "" {
		r.Header.Set(callers.HeaderRegion, string(c.cfg.Region))
	}
}

// readResponse decodes a refusal. It does not read the body of a target's response.
func (c *call) readResponse(resp *http.Response) (*Response, error) {
	out := &Response{Response: resp, Outcome: refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome)), IdempotencyKey: c.idempotencyKey}
	c.mayHaveRun = c.mayHaveRun || out.Outcome != refusal.NotRun
	if resp.Header.Get("Content-Type") != "application/problem+json" || out.Outcome == refusal.Ran {
		return out, nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	_ = resp.Body.Close() // The body was read.
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	var p struct {
		Code         refusal.Code `json:"code"`
		RetryAfterMs int64        `json:"retryAfterMs"`
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return out, nil //nolint:nilerr // Other bodies are left to the caller.
	}
	out.Code = p.Code
	out.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	return out, nil
}

// mayRetry reports whether the request may be sent again.
func (c *call) mayRetry(resp *Response, err error) bool {
	if err != nil {
		return c.idempotencyKey != "" || !c.mayHaveRun || isIdempotentMethod(c.request.Method)
	}
	if resp.Code == "" || resp.RetryAfter == 0 {
		return false
	}
	if isHostRefusal(resp.Code) {
		c.failedAddresses = append(c.failedAddresses, c.host.Address)
	}
	return c.idempotencyKey != "" || resp.Outcome == refusal.NotRun || isIdempotentMethod(c.request.Method)
}

// retryDelay returns the wait before the next attempt. It is zero if that goes to
// another host.
func (c *call) retryDelay(resp *Response) time.Duration {
	if resp == nil || isHostRefusal(resp.Code) && c.idempotencyKey == "" {
		return 0
	}
	return resp.RetryAfter
}

// finalError returns the error for the caller of Do.
func (c *call) finalError(err error) error {
	if err != nil && c.mayHaveRun {
		return &ErrUnknownOutcome{IdempotencyKey: c.idempotencyKey, Cause: err}
	}
	return err
}

// isHostRefusal reports whether another entry host may accept the request.
func isHostRefusal(code refusal.Code) bool {
	return code == refusal.CodeNotServing || code == refusal.CodeLeaving
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// isDialError reports whether err is that of a failed dial.
func isDialError(err error) bool {
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
