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

// defaultRetryAfter is the RetryAfter of refusals after a failure of a target or a
// peer, and for lack of memory.
const defaultRetryAfter = time.Second

// Forward runs a request that a peer relayed, as the owner of its idempotency key or as
// a host of the region that serves it. It never relays a request without an idempotency
// key again. Its error is a *refusal.Refusal. The caller must close the body of the
// Response.
func (h *Handler) Forward(ctx context.Context, req *Request) (*Response, error) {
	svc, rf := h.checkRelayed(req)
	if rf != nil {
		return nil, rf
	}
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout())
	resp, err := h.forward(ctx, req, svc)
	if err != nil {
		cancel()
		return nil, asRefusal(err)
	}
	resp.Body = &closeBody{ReadCloser: resp.Body, onEnd: cancel}
	return resp, nil
}

func (h *Handler) checkRelayed(req *Request) (*config.Service, *refusal.Refusal) {
	if rf := h.cfg.Lease.Check(); rf != nil {
		return nil, h.withKeyOutcome(req.IdempotencyKey, rf)
	}
	s := h.cfg.ConfigSource.Snapshot()
	if s == nil {
		return nil, h.withKeyOutcome(req.IdempotencyKey, noConfiguration())
	}
	svc, ok := s.Service(req.Service)
	if !ok {
		return nil, h.withKeyOutcome(req.IdempotencyKey, unknownService())
	}
	if s.Closed(svc.Name) {
		return nil, h.withKeyOutcome(req.IdempotencyKey, closed())
	}
	return svc, nil
}

func (h *Handler) forward(ctx context.Context, req *Request, svc *config.Service) (*Response, error) {
	if req.IdempotencyKey != "" {
		return h.runOwned(ctx, req, svc)
	}
	return h.serveLocal(ctx, req, replayer.New(req.Body, maxReplayBytes, svc.BodyLimit()))
}

// admit applies the workspace's rate limit, which may wait, and routes the request.
func (h *Handler) admit(ctx context.Context, req *Request, svc *config.Service) (*Response, error) {
	start := time.Now()
	if req.Workspace != "" {
		if err := h.cfg.RateLimiter.Admit(ctx, req.Workspace); err != nil {
			return nil, asRefusal(err)
		}
	}
	waited := time.Since(start)
	resp, err := h.route(ctx, req, svc)
	if resp != nil {
		resp.Waited += waited
	}
	return resp, err
}

// route sends the request to the region that the steerer selects, and to another region
// if the targets of this one fail.
func (h *Handler) route(ctx context.Context, req *Request, svc *config.Service) (*Response, error) {
	region := h.cfg.Steerer.Route(req.Service, req.Origin)
	if region != h.cfg.Region && region != "" {
		return h.relayOrServe(ctx, req, svc, region)
	}
	body := replayer.New(req.Body, maxReplayBytes, svc.BodyLimit())
	resp, err := h.serveLocal(ctx, req, body)
	if err == nil || !canFailOver(req, err) || !body.Replayable() || ctx.Err() != nil {
		return resp, err
	}
	other, ok := h.cfg.Steerer.FailoverRegion(req.Service, req.Origin)
	if !ok || h.cfg.Relayer == nil {
		return nil, err
	}
	again := *req
	again.Body = body.NewReader()
	first := asRefusal(err)
	resp, err = h.relay(ctx, &again, other)
	return resp, mergeOutcome(first, err)
}

// relayOrServe sends the request to a host of another region, and serves it in this
// region if the targets there fail.
func (h *Handler) relayOrServe(ctx context.Context, req *Request, svc *config.Service, region ids.Region) (*Response, error) {
	// The host of the other region enforces the body limit.
	body := replayer.New(req.Body, maxReplayBytes, math.MaxInt64)
	remote := *req
	remote.Body = body.NewReader()
	resp, err := h.relay(ctx, &remote, region)
	if err == nil || !canFailOver(req, err) || !body.Replayable() || ctx.Err() != nil {
		return resp, err
	}
	if asRefusal(err).Code == refusal.CodeShiftCap {
		return nil, err // its targets work; the steerer must send it less
	}
	_ = remote.Body.Close() // always returns nil
	first := asRefusal(err)
	body.SetLimit(svc.BodyLimit())
	resp, err = h.serveLocal(ctx, req, body)
	if err != nil && asRefusal(err).Code == refusal.CodeShiftCap {
		return nil, first
	}
	return resp, mergeOutcome(first, err)
}

// mergeOutcome returns the error of a second attempt, with the outcome of the first one
// unless that certainly did not run.
func mergeOutcome(first *refusal.Refusal, err error) error {
	if err == nil || first.Outcome == refusal.NotRun {
		return err
	}
	return withOutcome(asRefusal(err), first.Outcome)
}

// canFailOver reports whether another region may serve a request that failed: the cause
// is specific to the region that failed, and the request is idempotent or certainly did
// not run.
func canFailOver(req *Request, err error) bool {
	rf := asRefusal(err)
	if rf.Outcome != refusal.NotRun && !req.Idempotent {
		return false
	}
	switch rf.Code {
	case refusal.CodeNoTarget, refusal.CodeTargetFailed, refusal.CodeShiftCap:
		return true
	default:
		return false
	}
}

// relay sends the request to a host of another region, without its idempotency key.
func (h *Handler) relay(ctx context.Context, req *Request, region ids.Region) (*Response, error) {
	if h.cfg.Relayer == nil {
		return nil, refusal.Unavailable(refusal.CodePeerUnreachable, "this host reaches no other region", defaultRetryAfter)
	}
	if req.allowed != nil {
		if rf := req.allowed(); rf != nil {
			return nil, rf
		}
	}
	if rf := h.cfg.Lease.Check(); rf != nil {
		return nil, rf
	}
	relayed := *req
	relayed.IdempotencyKey = ""
	resp, err := h.cfg.Relayer.ToRegion(ctx, region, &relayed)
	if err != nil {
		return nil, asRefusal(err)
	}
	return resp, nil
}

// serveLocal sends the request, whose body can be read again, to targets of this host's
// region until one responds, as far as retries are safe. Requests from callers of other
// regions count towards the shift cap, whichever way they came.
func (h *Handler) serveLocal(ctx context.Context, req *Request, body *replayer.Replayer) (*Response, error) {
	if req.Origin != h.cfg.Region {
		if rf := h.cfg.Steerer.AdmitRemote(req.Service, req.Origin); rf != nil {
			return nil, rf
		}
	}
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, badRequest("the path is not valid")
	}
	loop := &retryLoop{h: h, req: req, url: u, body: body}
	if s := h.cfg.ConfigSource.Snapshot(); s != nil {
		h.budget.RecordRequest(req.Service, req.Workspace, s.Document.Limits.RetryRatio())
	}
	return loop.run(ctx)
}

// retryLoop is the state of the attempts to send one request to targets of this region.
type retryLoop struct {
	h     *Handler
	req   *Request
	url   *url.URL
	body  *replayer.Replayer
	avoid []ids.Target
	// outcome is NotRun until an attempt may have run.
	outcome refusal.Outcome
	waited  time.Duration
}

func (l *retryLoop) run(ctx context.Context) (*Response, error) {
	l.outcome = refusal.NotRun
	for {
		resp, rf := l.attempt(ctx)
		if rf == nil {
			resp.Waited = l.waited
			return resp, nil
		}
		if rf.Outcome != refusal.NotRun {
			l.outcome = rf.Outcome
		}
		if !l.mayRetry(ctx, rf) {
			return nil, withOutcome(rf, l.outcome)
		}
	}
}

// mayRetry reports whether another attempt is safe, useful and within the retry budget.
func (l *retryLoop) mayRetry(ctx context.Context, rf *refusal.Refusal) bool {
	switch rf.Code {
	case refusal.CodeTargetFailed, refusal.CodeTargetShed:
	default:
		return false
	}
	safe := rf.Outcome == refusal.NotRun || l.req.Idempotent
	if !safe || ctx.Err() != nil || !l.body.Replayable() {
		return false
	}
	return l.h.budget.AllowRetry(l.req.Service, l.req.Workspace)
}
