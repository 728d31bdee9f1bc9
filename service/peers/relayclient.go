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
	// relayTries bounds the hosts of a region that are tried for one request.
	relayTries = 3
	// relayGrace is how long a peer may take, after the request's deadline, to
	// say how the request ended.
	relayGrace = 250 * time.Millisecond
)

// The fields that only relayed heads carry.
const (
	fieldTrailer  = "Trailer"
	fieldReplayed = "Gypsum-Replayed"
)

// Link bounds what is sent to other hosts. A *shaper.Shaper is one.
type Link interface {
	// Wait returns once n bytes may be sent, or with ctx's error.
	Wait(ctx context.Context, n int) error
	// Check returns nil while the link takes new requests.
	Check() *refusal.Refusal
}

// shaped returns send with the link's bound on the bytes of bodies; a nil link
// has none.
func shaped(ctx context.Context, l Link, send func(*peerpb.RelayFrame) error) func(*peerpb.RelayFrame) error {
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

// RelayClient sends requests to other entry hosts; it is a callers.Relayer.
type RelayClient struct {
	Pool      *Pool
	Directory Directory
	// Link bounds the bytes of requests' bodies; it may be nil.
	Link Link
}

// ToRegion implements callers.Relayer. It tries another host only while
// nothing of the request has been sent.
func (c *RelayClient) ToRegion(ctx context.Context, r ids.Region, f *callers.Request) (*callers.Response, error) {
	if c.Link != nil {
		if rf := c.Link.Check(); rf != nil {
			return nil, rf
		}
	}
	hosts := c.Directory.Region(r)
	rf := unreachable(refusal.NotRun, "no entry host of the serving region is ready")
	for try := 0; try < relayTries && len(hosts) > 0; try++ {
		i := choose(hosts)
		stream, stop, err := c.open(ctx, hosts[i].PeersAddress)
		if err == nil {
			return c.relay(ctx, stream, stop, f, "")
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		rf = unreachable(refusal.NotRun, "the entry hosts of the serving region cannot be reached")
		hosts = append(append([]Host(nil), hosts[:i]...), hosts[i+1:]...)
	}
	return nil, rf
}

// choose returns the place of a host, by weight.
func choose(hosts []Host) int {
	total := 0.0
	for _, h := range hosts {
		total += h.Weight
	}
	if total <= 0 {
		return rand.IntN(len(hosts))
	}
	at := rand.Float64() * total
	for i, h := range hosts {
		if at -= h.Weight; at < 0 {
			return i
		}
	}
	return len(hosts) - 1
}

// ToOwner implements callers.Relayer. An owner that cannot be reached may have
// run the key before, so the outcome is then unknown.
func (c *RelayClient) ToOwner(ctx context.Context, owner ids.Instance, f *callers.Request) (*callers.Response, error) {
	host, ok := c.Directory.Instance(owner)
	if !ok {
		return nil, unreachable(refusal.Unknown,
			"the entry host that owns this idempotency key is gone; the request may have run and will not run again")
	}
	stream, stop, err := c.open(ctx, host.PeersAddress)
	if err != nil {
		return nil, unreachable(refusal.Unknown,
			"the entry host that owns this idempotency key cannot be reached; the request may have run")
	}
	a, err := c.relay(ctx, stream, stop, f, f.IdempotencyKey)
	var local *errNotTaken
	if errors.As(err, &local) {
		return nil, unreachable(refusal.Unknown, "the entry host that owns this idempotency key does not answer; the request may have run")
	}
	return a, err
}

type relayStream = grpc.BidiStreamingClient[peerpb.RelayFrame, peerpb.RelayFrame]

// open opens a stream to a peer. The stream outlives ctx's deadline by
// relayGrace, and its cancellation by nothing. Stop must be called.
func (c *RelayClient) open(ctx context.Context, address string) (relayStream, func(), error) {
	peer, err := c.Pool.Peer(address)
	if err != nil {
		return nil, nil, err
	}
	long, cancel := context.WithCancel(context.WithoutCancel(ctx))
	forget := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(relayGrace, cancel)
			return
		}
		cancel()
	})
	stop := func() {
		forget()
		cancel()
	}
	stream, err := peer.Relay(long)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return stream, stop, nil
}

// errNotTaken says that the peer does not serve relayed requests.
type errNotTaken struct{}

// Error says so.
func (*errNotTaken) Error() string { return "the peer takes no relayed requests" }

// Unwrap makes it a refusal that did not run.
func (*errNotTaken) Unwrap() error {
	return unreachable(refusal.NotRun, "the peer takes no relayed requests")
}

// relay sends a request over an open stream and returns the answer.
func (c *RelayClient) relay(ctx context.Context, stream relayStream, stop func(), f *callers.Request, key string) (*callers.Response, error) {
	if err := stream.Send(&peerpb.RelayFrame{Part: &peerpb.RelayFrame_Request{Request: requestHead(ctx, f, key)}}); err == nil {
		go func() {
			trailer := func() http.Header { return f.Trailer }
			if sendBody(shaped(stream.Context(), c.Link, stream.Send), f.Body, f.ContentLength, trailer) == nil {
				_ = stream.CloseSend() // It always returns nil.
			}
		}()
	}
	frame, err := stream.Recv()
	if err != nil {
		stop()
		return nil, lost(ctx, err)
	}
	head := frame.GetAnswer()
	if head == nil {
		stop()
		return nil, unreachable(refusal.Unknown, "the entry host's answer has no head")
	}
	if head.GetRefusalCode() != "" {
		stop()
		return nil, fromRefusal(head)
	}
	return fromAnswer(head, stream, stop), nil
}

// lost returns the refusal of a request whose stream ended before the answer.
func lost(ctx context.Context, err error) error {
	if status.Code(err) == codes.Unimplemented {
		return &errNotTaken{}
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

func requestHead(ctx context.Context, f *callers.Request, key string) *peerpb.RelayRequestHead {
	head := &peerpb.RelayRequestHead{
		Service:        string(f.Service),
		Workspace:      string(f.Workspace),
		Origin:         string(f.Origin),
		Method:         f.Method,
		Path:           f.Path,
		Headers:        withTrailerNames(f.Header, f.Trailer),
		ContentLength:  f.ContentLength,
		IdempotencyKey: key,
		Idempotent:     f.Idempotent,
	}
	if deadline, ok := ctx.Deadline(); ok {
		head.TimeoutMs = uint64(max(1, time.Until(deadline).Milliseconds()))
	}
	return head
}

// withTrailerNames returns fields together with the announcement of a trailer.
func withTrailerNames(h, trailer http.Header) []*peerpb.Header {
	out := toHeaders(h)
	if len(trailer) == 0 {
		return out
	}
	announced := &peerpb.Header{Name: fieldTrailer}
	for name := range trailer {
		announced.Values = append(announced.Values, name)
	}
	return append(out, announced)
}

// takeTrailer removes the announcement of a trailer and returns the empty trailer.
func takeTrailer(h http.Header) http.Header {
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

func fromRefusal(head *peerpb.RelayAnswerHead) *refusal.Refusal {
	return &refusal.Refusal{
		Status:     int(head.GetStatus()),
		Code:       refusal.Code(head.GetRefusalCode()),
		Outcome:    outcomeOf(head),
		Detail:     head.GetRefusalDetail(),
		RetryAfter: time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
	}
}

func outcomeOf(head *peerpb.RelayAnswerHead) refusal.Outcome {
	switch o := refusal.Outcome(head.GetOutcome()); o {
	case refusal.Ran, refusal.NotRun:
		return o
	default:
		return refusal.Unknown
	}
}

func fromAnswer(head *peerpb.RelayAnswerHead, stream relayStream, stop func()) *callers.Response {
	h := fromHeaders(head.GetHeaders())
	trailer := takeTrailer(h)
	replayed := strings.Join(h[fieldReplayed], "") != ""
	delete(h, fieldReplayed)
	return &callers.Response{
		Status:        int(head.GetStatus()),
		Header:        h,
		Body:          newRelayBody(stream.Recv, trailer, stop),
		Trailer:       trailer,
		ContentLength: head.GetContentLength(),
		Outcome:       outcomeOf(head),
		Target:        ids.Target(head.GetTarget()),
		Region:        ids.Region(head.GetRegion()),
		Replayed:      replayed,
	}
}
