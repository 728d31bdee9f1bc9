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

// callTimeout is the time limit of a call with all its attempts.
const callTimeout = 15 * time.Second

// caller sends the requests of one workspace in one region through pkg/client and
// records each call and attempt. Its methods may be called concurrently.
type caller struct {
	workspace ids.Workspace
	region    ids.Region
	client    *client.Client
	transport *recordingTransport
	recorder  *recorder
	name      string
	calls     atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

// newCaller returns a caller. Its workspace is empty if it has no key or a wrong one.
func newCaller(name string, ws ids.Workspace, region ids.Region, key string, entries []string,
	base http.RoundTripper, rec *recorder, rng *rand.Rand) *caller {
	transport := &recordingTransport{base: base, recorder: rec, workspace: ws, region: region, keyed: key != ""}
	return &caller{
		name: name, workspace: ws, region: region, transport: transport, recorder: rec, rng: rng,
		client: client.New(client.Config{EntryHosts: entries, WorkspaceKey: key, Region: region, Transport: transport}),
	}
}

// send makes a call of a kind and records it.
func (c *caller) send(ctx context.Context, k *requestKind) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	made := call{
		id:        fmt.Sprintf("%s-%d", c.name, c.calls.Add(1)),
		workspace: c.workspace, region: c.region, service: k.service, atMostOnce: k.atMostOnce,
	}
	body := c.body(k)
	header := http.Header{}
	header.Set(target.HeaderRequestID, made.id)
	if k.open {
		header.Set(headerOpen, "1")
	}
	made.startedAt = time.Now()
	resp, err := c.client.Do(ctx, client.Request{
		Service: k.service, Method: k.method, Path: k.path, Header: header, Body: body, Once: k.atMostOnce,
	})
	if err != nil {
		made.err = err.Error()
	} else {
		c.read(&made, resp, body)
	}
	made.endedAt = time.Now()
	c.recorder.addCall(made)
}

// body returns a random body of a length within the kind's limits.
func (c *caller) body(k *requestKind) []byte {
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

// read reads the response into the call's record and checks a target's response.
func (c *caller) read(made *call, resp *client.Response, body []byte) {
	defer func() { _ = resp.Body.Close() }() // the body was read
	made.outcome, made.code, made.status = resp.Outcome, resp.Code, resp.StatusCode
	made.host = resp.Request.URL.Host
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		made.err = "the answer was cut: " + err.Error()
		return
	}
	if made.code != "" || made.outcome != refusal.Ran || resp.StatusCode != http.StatusOK {
		return
	}
	made.mismatch = checkResponse(made, b, body)
}

// checkResponse returns how a target's response differs from the one that the call
// should get, or an empty string.
func checkResponse(made *call, answer, body []byte) string {
	line, _, _ := bytes.Cut(answer, []byte("\n"))
	var reply target.Reply
	if err := json.Unmarshal(line, &reply); err != nil {
		return "the answer is not whole: " + err.Error()
	}
	sum := sha256.Sum256(body)
	id, _, _ := strings.Cut(reply.RequestID, "/")
	switch {
	case id != made.id:
		return "the answer belongs to request " + reply.RequestID
	case reply.BodyBytes != int64(len(body)) || reply.BodySHA256 != hex.EncodeToString(sum[:]):
		return fmt.Sprintf("the target got %d of %d bytes, or others", reply.BodyBytes, len(body))
	default:
		return ""
	}
}

// headerOpen tells the recordingTransport that the route is open. It is not sent.
const headerOpen = "Demo-Open"

// recordingTransport is an HTTP transport that assigns each attempt a request ID of its
// own and records it.
type recordingTransport struct {
	base      http.RoundTripper
	recorder  *recorder
	workspace ids.Workspace
	region    ids.Region
	keyed     bool
	attempts  atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (t *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := r.Header.Get(target.HeaderRequestID)
	if base == "" {
		return t.base.RoundTrip(r) // a look-up, which is not recorded
	}
	a := attempt{
		id:        fmt.Sprintf("%s/%d", base, t.attempts.Add(1)),
		host:      r.URL.Host,
		workspace: t.workspace, keyed: t.keyed, region: t.region,
		open:           r.Header.Get(headerOpen) != "",
		idempotencyKey: r.Header.Get(callers.HeaderIdempotencyKey),
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		a.sends++
		a.lastSentAt = time.Now()
		a.connReused = i.Reused
	}}
	sent := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	sent.Header.Set(target.HeaderRequestID, a.id)
	sent.Header.Del(headerOpen)
	a.sentAt = time.Now()
	resp, err := t.base.RoundTrip(sent)
	a.headerAt = time.Now()
	if err != nil {
		a.err = err.Error()
		var op *net.OpError
		// After a failed send the transport may have dialled again; then sends is not zero.
		a.dialFailed = a.sends == 0 && errors.As(err, &op) && op.Op == "dial"
		t.recorder.addAttempt(a)
		return nil, err
	}
	a.outcome = refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome))
	a.status = resp.StatusCode
	return t.recordResponse(a, resp)
}

// maxProblemBytes is the maximum length of a refusal's body that is read.
const maxProblemBytes = 64 << 10

// recordResponse reads the code of a refusal and records the attempt. For any other
// response, the attempt is recorded when the body is closed.
func (t *recordingTransport) recordResponse(a attempt, resp *http.Response) (*http.Response, error) {
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		resp.Body = &recordingBody{ReadCloser: resp.Body, attempt: a, recorder: t.recorder}
		return resp, nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	_ = resp.Body.Close() // the body was read
	a.truncated = err != nil
	var p struct {
		Code refusal.Code `json:"code"`
	}
	if err == nil && json.Unmarshal(b, &p) == nil {
		a.code = p.Code
	}
	t.recorder.addAttempt(a)
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return resp, err
}

// recordingBody records its attempt when it is closed.
type recordingBody struct {
	io.ReadCloser
	attempt  attempt
	recorder *recorder
	once     sync.Once
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.attempt.truncated = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *recordingBody) Close() error {
	b.once.Do(func() { b.recorder.addAttempt(b.attempt) })
	return b.ReadCloser.Close()
}
