package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// maxRelayAttempts bounds the hosts of a region that are tried for one request.
	maxRelayAttempts = 3
	// relayGrace is how long after the request's deadline the peer may still report
	// the outcome.
	relayGrace = 250 * time.Millisecond
)

// Header fields that are used only in relayed heads.
const (
	fieldTrailer  = "Trailer"
	fieldReplayed = "Gypsum-Replayed"
)

// Link limits the rate of body bytes sent to other hosts. *shaper.Shaper
// implements it.
type Link interface {
	// Wait blocks until n bytes may be sent, or returns ctx's error.
	Wait(ctx context.Context, n int) error
	// Check returns nil while the link accepts new requests, else the refusal for
	// the caller.
	Check() *refusal.Refusal
}

// rateLimited returns a send function that waits for l before each body frame. If l
// is nil, it returns send.
func rateLimited(ctx context.Context, l Link, send func(*peerpb.RelayFrame) error) func(*peerpb.RelayFrame) error {
	if l == nil {
		return send
	}
	return func(f *peerpb.RelayFrame) error {
		if n := len(f.GetBody()); n > 0 {
			if err := l.Wait(ctx, n); err != nil {
				return err
			}
		}
		return send(f)
	}
}

// RelayClient forwards requests to other entry hosts. It implements callers.Relayer.
type RelayClient struct {
	Pool      *Pool
	Directory Directory
	// Link limits the rate of request bodies; it may be nil.
	Link Link
}

// ToRegion implements callers.Relayer. It tries another host only as long as
// nothing of the request has been sent.
func (c *RelayClient) ToRegion(ctx context.Context, r ids.Region, req *callers.Request) (*callers.Response, error) {
	if c.Link != nil {
		if rf := c.Link.Check(); rf != nil {
			return nil, rf
		}
	}
	hosts := c.Directory.Region(r)
	rf := unreachable(refusal.NotRun, "no entry host of the serving region is ready")
	for try := 0; try < maxRelayAttempts && len(hosts) > 0; try++ {
		i := pickWeighted(hosts)
		stream, stop, err := c.openStream(ctx, hosts[i].PeersAddress)
		if err == nil {
			return c.relay(ctx, stream, stop, req, "")
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		rf = unreachable(refusal.NotRun, "the entry hosts of the serving region cannot be reached")
		hosts = append(append([]Host(nil), hosts[:i]...), hosts[i+1:]...)
	}
	return nil, rf
}

// pickWeighted returns the index of a random host, chosen by weight.
func pickWeighted(hosts []Host) int {
	total := 0.0
	for _, h := range hosts {
		total += h.Weight
	}
	if total <= 0 {
		return rand.IntN(len(hosts))
	}
	remaining := rand.Float64() * total
	for i, h := range hosts {
		if remaining -= h.Weight; remaining < 0 {
			return i
		}
	}
	return len(hosts) - 1
}

// ToOwner implements callers.Relayer. An unreachable owner may have run a request
// with the same key before, so the outcome is unknown then.
func (c *RelayClient) ToOwner(ctx context.Context, owner ids.Instance, req *callers.Request) (*callers.Response, error) {
	host, ok := c.Directory.Instance(owner)
	if !ok {
		return nil, unreachable(refusal.Unknown,
			"the entry host that owns this idempotency key is gone; the request may have run and will not run again")
	}
	stream, stop, err := c.openStream(ctx, host.PeersAddress)
	if err != nil {
		return nil, unreachable(refusal.Unknown,
			"the entry host that owns this idempotency key cannot be reached; the request may have run")
	}
	resp, err := c.relay(ctx, stream, stop, req, req.IdempotencyKey)
	var unsupported *errRelayUnsupported
	if errors.As(err, &unsupported) {
		return nil, unreachable(refusal.Unknown, "the entry host that owns this idempotency key does not answer; the request may have run")
	}
	return resp, err
}

type relayStream = grpc.BidiStreamingClient[peerpb.RelayFrame, peerpb.RelayFrame]

// openStream opens a stream to a peer. The stream ends relayGrace after ctx's
// deadline, or at once if ctx is cancelled. The returned stop function must be
// called.
func (c *RelayClient) openStream(ctx context.Context, address string) (relayStream, func(), error) {
	peer, err := c.Pool.Peer(address)
	if err != nil {
		return nil, nil, err
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unwatch := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(relayGrace, cancel)
			return
		}
		cancel()
	})
	stop := func() {
		unwatch()
		cancel()
	}
	stream, err := peer.Relay(streamCtx)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return stream, stop, nil
}

// errRelayUnsupported means that the peer does not serve relayed requests. It wraps
// a refusal with outcome NotRun.
type errRelayUnsupported struct{}

// Error implements error.
func (*errRelayUnsupported) Error() string { return "the peer takes no relayed requests" }

// Unwrap returns the refusal.
func (*errRelayUnsupported) Unwrap() error {
	return unreachable(refusal.NotRun, "the peer takes no relayed requests")
}

// relay sends a request over an open stream and returns the response.
func (c *RelayClient) relay(ctx context.Context, stream relayStream, stop func(), req *callers.Request, key string) (*callers.Response, error) {
	if err := stream.Send(&peerpb.RelayFrame{Part: &peerpb.RelayFrame_Request{Request: encodeRequestHead(ctx, req, key)}}); err == nil {
		go func() {
			trailer := func() http.Header { return req.Trailer }
			if sendBody(rateLimited(stream.Context(), c.Link, stream.Send), req.Body, req.ContentLength, trailer) == nil {
				_ = stream.CloseSend() // always returns nil
			}
		}()
	}
	frame, err := stream.Recv()
	if err != nil {
		stop()
		return nil, streamFailure(ctx, err)
	}
	head := frame.GetAnswer()
	if head == nil {
		stop()
		return nil, unreachable(refusal.Unknown, "the entry host's answer has no head")
	}
	if head.GetRefusalCode() != "" {
		stop()
		return nil, decodeRefusal(head)
	}
	return decodeResponse(head, stream, stop), nil
}

// streamFailure returns the error of a request whose stream ended before the
// response.
func streamFailure(ctx context.Context, err error) error {
	if status.Code(err) == codes.Unimplemented {
		return &errRelayUnsupported{}
	}
	if ctx.Err() != nil {
		return &refusal.Refusal{
			Status:  http.StatusGatewayTimeout,
			Code:    refusal.CodeDeadlineExceeded,
			Outcome: refusal.Unknown,
			Detail:  "the request ended before the other entry host answered",
		}
	}
	return unreachable(refusal.Unknown, "the connection to the other entry host broke before its answer")
}

func encodeRequestHead(ctx context.Context, req *callers.Request, key string) *peerpb.RelayRequestHead {
	head := &peerpb.RelayRequestHead{
		Service:        string(req.Service),
		Workspace:      string(req.Workspace),
		Origin:         string(req.Origin),
		Method:         req.Method,
		Path:           req.Path,
		Headers:        encodeHeadersAndTrailer(req.Header, req.Trailer),
		ContentLength:  req.ContentLength,
		IdempotencyKey: key,
		Idempotent:     req.Idempotent,
	}
	if deadline, ok := ctx.Deadline(); ok {
		head.TimeoutMs = uint64(max(1, time.Until(deadline).Milliseconds()))
	}
	return head
}

// encodeHeadersAndTrailer encodes header fields and, in a Trailer field, the names
// of the trailer's fields.
func encodeHeadersAndTrailer(h, trailer http.Header) []*peerpb.Header {
	out := encodeHeaders(h)
	if len(trailer) == 0 {
		return out
	}
	announced := &peerpb.Header{Name: fieldTrailer}
	for name := range trailer {
		announced.Values = append(announced.Values, name)
	}
	return append(out, announced)
}

// extractTrailer removes the Trailer field from h and returns a trailer with the
// names in it, without values.
func extractTrailer(h http.Header) http.Header {
	names := h[fieldTrailer]
	if len(names) == 0 {
		return nil
	}
	delete(h, fieldTrailer)
	trailer := make(http.Header, len(names))
	for _, name := range names {
		trailer[name] = nil
	}
	return trailer
}

func decodeRefusal(head *peerpb.RelayAnswerHead) *refusal.Refusal {
	return &refusal.Refusal{
		Status:     int(head.GetStatus()),
		Code:       refusal.Code(head.GetRefusalCode()),
		Outcome:    decodeOutcome(head),
		Detail:     head.GetRefusalDetail(),
		RetryAfter: time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
	}
}

func decodeOutcome(head *peerpb.RelayAnswerHead) refusal.Outcome {
	switch o := refusal.Outcome(head.GetOutcome()); o {
	case refusal.Ran, refusal.NotRun:
		return o
	default:
		return refusal.Unknown
	}
}

func decodeResponse(head *peerpb.RelayAnswerHead, stream relayStream, stop func()) *callers.Response {
	h := decodeHeaders(head.GetHeaders())
	trailer := extractTrailer(h)
	replayed := strings.Join(h[fieldReplayed], "") != ""
	delete(h, fieldReplayed)
	return &callers.Response{
		Status:        int(head.GetStatus()),
		Header:        h,
		Body:          newRelayBody(stream.Recv, trailer, stop),
		Trailer:       trailer,
		ContentLength: head.GetContentLength(),
		Outcome:       decodeOutcome(head),
		Target:        ids.Target(head.GetTarget()),
		Region:        ids.Region(head.GetRegion()),
		Replayed:      replayed,
	}
}
