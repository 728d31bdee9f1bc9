package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/client"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// callTimeout bounds one call with all its attempts.
const callTimeout = 15 * time.Second

// caller sends the requests of one workspace in one region through pkg/client,
// and records each attempt and call. Its methods may be called from several
// goroutines.
type caller struct {
	workspace ids.Workspace
	region    ids.Region
	client    *client.Client
	wire      *wire
	recorder  *recorder
	name      string
	calls     atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

// newCaller returns a caller. A caller whose workspace is empty has no key or a
// wrong one.
func newCaller(name string, ws ids.Workspace, region ids.Region, key string, entries []string,
	base http.RoundTripper, rec *recorder, rng *rand.Rand) *caller {
	w := &wire{base: base, recorder: rec, workspace: ws, region: region, keyed: key != ""}
	return &caller{
		name: name, workspace: ws, region: region, wire: w, recorder: rec, rng: rng,
		client: client.New(client.Config{EntryHosts: entries, WorkspaceKey: key, Region: region, Transport: w}),
	}
}

// send makes one call of a kind and records it.
func (c *caller) send(ctx context.Context, k *kind) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	one := call{
		id:        fmt.Sprintf("%s-%d", c.name, c.calls.Add(1)),
		workspace: c.workspace, region: c.region, service: k.service, once: k.once,
	}
	body := c.body(k)
	header := http.Header{}
	header.Set(target.HeaderRequestID, one.id)
	if k.open {
		header.Set(headerOpen, "1")
	}
	one.startedAt = time.Now()
	resp, err := c.client.Do(ctx, client.Request{
		Service: k.service, Method: k.method, Path: k.path, Header: header, Body: body, Once: k.once,
	})
	if err != nil {
		one.err = err.Error()
	} else {
		c.read(&one, resp, body)
	}
	one.endedAt = time.Now()
	c.recorder.call(one)
}

// body makes a random body of the kind's length.
func (c *caller) body(k *kind) []byte {
	if k.maxBody == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := make([]byte, k.minBody+c.rng.IntN(k.maxBody-k.minBody+1))
	for i := 0; i+8 <= len(b); i += 8 {
		n := c.rng.Uint64()
		for j := range 8 {
			b[i+j] = byte(n >> (8 * j))
		}
	}
	return b
}

// read reads the answer and says whether it is whole and this call's own.
func (c *caller) read(one *call, resp *client.Response, body []byte) {
	defer func() { _ = resp.Body.Close() }() // It was read.
	one.outcome, one.code, one.status = resp.Outcome, resp.Code, resp.StatusCode
	one.host = resp.Request.URL.Host
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		one.err = "the answer was cut: " + err.Error()
		return
	}
	if one.code != "" || one.outcome != refusal.Ran || resp.StatusCode != http.StatusOK {
		return
	}
	one.wrong = judge(one, b, body)
}

// judge compares a target's answer with the call that it should answer.
func judge(one *call, answer, body []byte) string {
	line, _, _ := bytes.Cut(answer, []byte("\n"))
	var reply target.Reply
	if err := json.Unmarshal(line, &reply); err != nil {
		return "the answer is not whole: " + err.Error()
	}
	sum := sha256.Sum256(body)
	id, _, _ := strings.Cut(reply.RequestID, "/")
	switch {
	case id != one.id:
		return "the answer belongs to request " + reply.RequestID
	case reply.BodyBytes != int64(len(body)) || reply.BodySHA256 != hex.EncodeToString(sum[:]):
		return fmt.Sprintf("the target got %d of %d bytes, or others", reply.BodyBytes, len(body))
	default:
		return ""
	}
}

// headerOpen tells the wire that the route is open. It is not sent.
const headerOpen = "Demo-Open"

// wire is a transport that gives each attempt its own request id and records it.
type wire struct {
	base      http.RoundTripper
	recorder  *recorder
	workspace ids.Workspace
	region    ids.Region
	keyed     bool
	attempts  atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	base := r.Header.Get(target.HeaderRequestID)
	if base == "" {
		return w.base.RoundTrip(r) // It is a look-up.
	}
	a := attempt{
		id:        fmt.Sprintf("%s/%d", base, w.attempts.Add(1)),
		host:      r.URL.Host,
		workspace: w.workspace, keyed: w.keyed, region: w.region,
		open:           r.Header.Get(headerOpen) != "",
		idempotencyKey: r.Header.Get(callers.HeaderIdempotencyKey),
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		a.sends++
		a.lastSentAt = time.Now()
		a.reused = i.Reused
	}}
	sent := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	sent.Header.Set(target.HeaderRequestID, a.id)
	sent.Header.Del(headerOpen)
	a.sentAt = time.Now()
	resp, err := w.base.RoundTrip(sent)
	a.headAt = time.Now()
	if err != nil {
		a.err = err.Error()
		var op *net.OpError
		// The transport may have dialled again after a connection broke.
		a.dialFailed = a.sends == 0 && errors.As(err, &op) && op.Op == "dial"
		w.recorder.attempt(a)
		return nil, err
	}
	a.outcome = refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome))
	a.status = resp.StatusCode
	return w.peek(a, resp)
}

// problemBytes bounds a refusal's body.
const problemBytes = 64 << 10

// peek reads the code of a refusal and records the attempt. The body of any
// other answer is recorded once it has been read.
func (w *wire) peek(a attempt, resp *http.Response) (*http.Response, error) {
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		resp.Body = &watchedBody{ReadCloser: resp.Body, a: a, recorder: w.recorder}
		return resp, nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, problemBytes))
	_ = resp.Body.Close() // It was read.
	a.cut = err != nil
	var p struct {
		Code refusal.Code `json:"code"`
	}
	if err == nil && json.Unmarshal(b, &p) == nil {
		a.code = p.Code
	}
	w.recorder.attempt(a)
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return resp, err
}

// watchedBody records its attempt when the body is closed.
type watchedBody struct {
	io.ReadCloser
	a        attempt
	recorder *recorder
	once     sync.Once
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.a.cut = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.once.Do(func() { b.recorder.attempt(b.a) })
	return b.ReadCloser.Close()
}
