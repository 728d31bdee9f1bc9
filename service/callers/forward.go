package callers

import (
	"context"
	"math"
	"net/url"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/replayer"
)

// retryTarget is the wait told after a failure of a target or a peer.
const retryTarget = time.Second

// Forward runs a request that a peer relayed, as the owner of its idempotency
// key or as a host of the region that serves it. It never relays a request
// without a key again. Its error is a *refusal.Refusal.
func (h *Handler) Forward(ctx context.Context, f *Request) (*Response, error) {
	svc, rf := h.checkRelayed(f)
	if rf != nil {
		return nil, rf
	}
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout())
	a, err := h.forward(ctx, f, svc)
	if err != nil {
		cancel()
		return nil, asRefusal(err)
	}
	a.Body = &closeBody{ReadCloser: a.Body, after: cancel}
	return a, nil
}

func (h *Handler) checkRelayed(f *Request) (*config.Service, *refusal.Refusal) {
	if rf := h.cfg.Lease.Check(); rf != nil {
		return nil, h.ofKey(f.IdempotencyKey, rf)
	}
	s := h.cfg.ConfigSource.Snapshot()
	if s == nil {
		return nil, h.ofKey(f.IdempotencyKey, noConfiguration())
	}
	svc, ok := s.Service(f.Service)
	if !ok {
		return nil, h.ofKey(f.IdempotencyKey, unknownService())
	}
	if s.Closed(svc.Name) {
		return nil, h.ofKey(f.IdempotencyKey, closed())
	}
	return svc, nil
}

func (h *Handler) forward(ctx context.Context, f *Request, svc *config.Service) (*Response, error) {
	if f.IdempotencyKey != "" {
		return h.runOwned(ctx, f, svc)
	}
	return h.serveBody(ctx, f, replayer.New(f.Body, replayBytes, svc.BodyLimit()))
}

// admit takes the workspace's token and sends the request where it is to go.
func (h *Handler) admit(ctx context.Context, f *Request, svc *config.Service) (*Response, error) {
	begun := time.Now()
	if f.Workspace != "" {
		if err := h.cfg.RateLimiter.Admit(ctx, f.Workspace); err != nil {
			return nil, asRefusal(err)
		}
	}
	waited := time.Since(begun)
	a, err := h.place(ctx, f, svc)
	if a != nil {
		a.Waited += waited
	}
	return a, err
}

// place sends the request to the region that is to serve it.
func (h *Handler) place(ctx context.Context, f *Request, svc *config.Service) (*Response, error) {
	region := h.cfg.Steerer.Route(f.Service, f.Origin)
	if region != h.cfg.Region && region != "" {
		return h.relayOrServe(ctx, f, svc, region)
	}
	body := replayer.New(f.Body, replayBytes, svc.BodyLimit())
	a, err := h.serveBody(ctx, f, body)
	if err == nil || !elsewhereMay(f, err) || !body.Replayable() || ctx.Err() != nil {
		return a, err
	}
	other, ok := h.cfg.Steerer.FailoverRegion(f.Service, f.Origin)
	if !ok || h.cfg.Relayer == nil {
		return nil, err
	}
	again := *f
	again.Body = body.NewReader()
	first := asRefusal(err)
	a, err = h.relay(ctx, &again, other)
	return a, afterFirst(first, err)
}

// relayOrServe sends the request to a host of another region, and serves it here
// if the targets there fail.
func (h *Handler) relayOrServe(ctx context.Context, f *Request, svc *config.Service, region ids.Region) (*Response, error) {
	// The other region holds the body to its bound.
	body := replayer.New(f.Body, replayBytes, math.MaxInt64)
	there := *f
	there.Body = body.NewReader()
	a, err := h.relay(ctx, &there, region)
	if err == nil || !elsewhereMay(f, err) || !body.Replayable() || ctx.Err() != nil {
		return a, err
	}
	if asRefusal(err).Code == refusal.CodeShiftCap {
		return nil, err // Its targets work; the steering is to send it less.
	}
	_ = there.Body.Close() // It always returns nil.
	first := asRefusal(err)
	body.SetLimit(svc.BodyLimit())
	a, err = h.serveBody(ctx, f, body)
	if err != nil && asRefusal(err).Code == refusal.CodeShiftCap {
		return nil, first
	}
	return a, afterFirst(first, err)
}

// afterFirst returns the error of a second attempt after a first one that may
// have run.
func afterFirst(first *refusal.Refusal, err error) error {
	if err == nil || first.Outcome == refusal.NotRun {
		return err
	}
	return withOutcome(asRefusal(err), first.Outcome)
}

// elsewhereMay reports whether a request failed for a reason that holds in this
// region only, and may run in another one: it provably did not run, or may run
// again.
func elsewhereMay(f *Request, err error) bool {
	rf := asRefusal(err)
	if rf.Outcome != refusal.NotRun && !f.Idempotent {
		return false
	}
	switch rf.Code {
	case refusal.CodeNoTarget, refusal.CodeTargetFailed, refusal.CodeShiftCap:
		return true
	default:
		return false
	}
}

// relay sends the request to a host of another region.
func (h *Handler) relay(ctx context.Context, f *Request, region ids.Region) (*Response, error) {
	if h.cfg.Relayer == nil {
		return nil, refusal.Unavailable(refusal.CodePeerUnreachable, "this host reaches no other region", retryTarget)
	}
	if f.allowed != nil {
		if rf := f.allowed(); rf != nil {
			return nil, rf
		}
	}
	if rf := h.cfg.Lease.Check(); rf != nil {
		return nil, rf
	}
	relayed := *f
	relayed.IdempotencyKey = ""
	a, err := h.cfg.Relayer.ToRegion(ctx, region, &relayed)
	if err != nil {
		return nil, asRefusal(err)
	}
	return a, nil
}

// serveBody sends the request, with a body that can be read again, to targets
// of this host's region until one answers, as far as that is safe. Requests of
// other regions' callers count under the shift cap, whichever way they came.
func (h *Handler) serveBody(ctx context.Context, f *Request, body *replayer.Replayer) (*Response, error) {
	if f.Origin != h.cfg.Region {
		if rf := h.cfg.Steerer.AdmitRemote(f.Service, f.Origin); rf != nil {
			return nil, rf
		}
	}
	u, err := url.ParseRequestURI(f.Path)
	if err != nil {
		return nil, badRequest("the path is not valid")
	}
	t := &trial{h: h, f: f, url: u, body: body}
	if s := h.cfg.ConfigSource.Snapshot(); s != nil {
		h.budget.RecordRequest(f.Service, f.Workspace, s.Document.Limits.RetryRatio())
	}
	return t.run(ctx)
}

// trial is the series of attempts for one request.
type trial struct {
	h     *Handler
	f     *Request
	url   *url.URL
	body  *replayer.Replayer
	avoid []ids.Target
	// outcome is no longer NotRun once an attempt may have run.
	outcome refusal.Outcome
	waited  time.Duration
}

func (t *trial) run(ctx context.Context) (*Response, error) {
	t.outcome = refusal.NotRun
	for {
		a, rf := t.attempt(ctx)
		if rf == nil {
			a.Waited = t.waited
			return a, nil
		}
		if rf.Outcome != refusal.NotRun {
			t.outcome = rf.Outcome
		}
		if !t.mayRetry(ctx, rf) {
			return nil, withOutcome(rf, t.outcome)
		}
	}
}

// mayRetry reports whether another attempt is safe, useful and within the budget.
func (t *trial) mayRetry(ctx context.Context, rf *refusal.Refusal) bool {
	switch rf.Code {
	case refusal.CodeTargetFailed, refusal.CodeTargetShed:
	default:
		return false
	}
	safe := rf.Outcome == refusal.NotRun || t.f.Idempotent
	if !safe || ctx.Err() != nil || !t.body.Replayable() {
		return false
	}
	return t.h.budget.AllowRetry(t.f.Service, t.f.Workspace)
}
