package callers

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// resultGrace is how long a run may take after its deadline to return its result.
const resultGrace = 500 * time.Millisecond

// withKeyOutcome adjusts the refusal of a request with an idempotency key. An earlier
// arrival of the request may have run, so only the key's owner can say NotRun.
func (h *Handler) withKeyOutcome(key string, rf *refusal.Refusal) *refusal.Refusal {
	k, err := deduplicator.ParseKey(key)
	if err != nil || rf.Outcome != refusal.NotRun {
		return rf
	}
	if h.cfg.Idempotency.Owns(k) && !h.cfg.Idempotency.MayHaveRun(k) {
		return rf
	}
	return withOutcome(rf, refusal.Unknown)
}

// runKeyed runs a request with an idempotency key, on this host or at the key's owner.
func (h *Handler) runKeyed(ctx context.Context, in *inbound) (*Response, error) {
	req := in.req
	if h.cfg.Idempotency.Owns(in.key) {
		return h.runOwned(ctx, req, in.service)
	}
	if h.cfg.Relayer == nil {
		return nil, ownerUnreachable()
	}
	if h.cfg.Backup == nil || in.service.NoCopies {
		return h.cfg.Relayer.ToOwner(ctx, in.key.Owner, req)
	}
	return h.runAtOwner(ctx, in)
}

// runAtOwner runs a request at the owner of its key. If the owner is unreachable, it
// replays the outcome that a backup holds, if any.
func (h *Handler) runAtOwner(ctx context.Context, in *inbound) (*Response, error) {
	body, err := h.readKeyedBody(in.req, in.service)
	if err != nil {
		return nil, h.withKeyOutcome(in.req.IdempotencyKey, asRefusal(err))
	}
	defer h.bodyReleaser(body)()
	resp, err := h.cfg.Relayer.ToOwner(ctx, in.key.Owner, withBody(in.req, body))
	if err == nil || asRefusal(err).Code != refusal.CodePeerUnreachable {
		return resp, err
	}
	o, recallErr := h.cfg.Backup.Recall(ctx, in.key, fingerprint(in.req, body))
	switch {
	case recallErr != nil:
		return nil, recallErr
	case o == nil:
		return nil, err
	default:
		return replay(o)
	}
}

// fingerprint returns the properties by which a repeated request is recognised as the
// same.
func fingerprint(req *Request, body []byte) deduplicator.Request {
	return deduplicator.Request{
		Service: req.Service, Workspace: req.Workspace, Method: req.Method, Path: req.Path, Body: sha256.Sum256(body),
	}
}

// withBody returns a copy of the request with a body that was read completely.
func withBody(req *Request, body []byte) *Request {
	copied := *req
	copied.Body = io.NopCloser(bytes.NewReader(body))
	copied.ContentLength = int64(len(body))
	if len(copied.Trailer) > 0 {
		copied.ContentLength = -1
	}
	return &copied
}

func ownerUnreachable() *refusal.Refusal {
	rf := refusal.Unavailable(refusal.CodePeerUnreachable,
		"the entry host that owns this idempotency key does not answer; the request may have run", defaultRetryAfter)
	return withOutcome(rf, refusal.Unknown)
}

// runOwned runs a request whose key must be owned by this host.
func (h *Handler) runOwned(ctx context.Context, req *Request, svc *config.Service) (*Response, error) {
	k, err := deduplicator.ParseKey(req.IdempotencyKey)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, refusal.CodeIdempotencyPrefixInvalid, err.Error())
	}
	if !h.cfg.Idempotency.Owns(k) {
		return nil, ownerUnreachable()
	}
	body, err := h.readKeyedBody(req, svc)
	if err != nil {
		return nil, h.withKeyOutcome(req.IdempotencyKey, asRefusal(err))
	}
	release := h.bodyReleaser(body)
	run, recorded, err := h.cfg.Idempotency.Begin(ctx, k, fingerprint(req, body))
	if err != nil {
		release()
		return nil, asRefusal(err)
	}
	if recorded != nil {
		release()
		return replay(recorded)
	}
	return h.runDetached(ctx, run, req, svc, body, release)
}

// bodyReleaser returns a function that subtracts a body from the held bytes.
func (h *Handler) bodyReleaser(body []byte) func() {
	return func() { h.heldBodyBytes.Add(-int64(len(body))) }
}

// readKeyedBody reads the whole body and adds it to the held bytes. The body must be
// known before the run begins, as it is part of the request's fingerprint.
func (h *Handler) readKeyedBody(req *Request, svc *config.Service) ([]byte, error) {
	limit := min(h.cfg.MaxKeyedBodyBytes, svc.BodyLimit())
	if req.ContentLength > limit {
		return nil, bodyTooLarge(refusal.NotRun)
	}
	reserved := req.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if h.heldBodyBytes.Add(reserved) > h.cfg.MaxHeldBodyBytes {
		h.heldBodyBytes.Add(-reserved)
		return nil, refusal.Unavailable(refusal.CodeIdempotencyMemoryFull, "too many bodies are held at this host", defaultRetryAfter)
	}
	if req.Body == nil {
		req.Body = http.NoBody
	}
	body, err := readAll(req.Body, limit)
	if err != nil {
		h.heldBodyBytes.Add(-reserved)
		if errors.Is(err, errBodyTooLarge) {
			return nil, bodyTooLarge(refusal.NotRun)
		}
		return nil, badRequest("the body was cut short")
	}
	h.heldBodyBytes.Add(int64(len(body)) - reserved)
	return body, nil
}

// replay returns a recorded outcome.
func replay(o *deduplicator.Outcome) (*Response, error) {
	if o.Refusal != nil {
		return nil, o.Refusal
	}
	if o.BodyDropped {
		return nil, &refusal.Refusal{
			Status:  http.StatusConflict,
			Code:    refusal.CodeIdempotencyAnswerDropped,
			Outcome: refusal.Ran,
			Detail:  "the request ran and was answered with status " + strconv.Itoa(o.Status) + "; the answer was not kept",
		}
	}
	return &Response{
		Status:        o.Status,
		Header:        o.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(o.Body)),
		Trailer:       o.Trailer.Clone(),
		ContentLength: int64(len(o.Body)),
		Outcome:       refusal.Ran,
		Target:        o.Target,
		Region:        o.Region,
		Replayed:      true,
	}, nil
}

// runResult is the result of a detached run for its first caller.
type runResult struct {
	resp *Response
	err  error
}

// runDetached runs the request to completion even if the caller disconnects. It calls
// release when the run has ended.
func (h *Handler) runDetached(ctx context.Context, run *deduplicator.Execution, req *Request, svc *config.Service, body []byte, release func()) (*Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(svc.Timeout())
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	ownReq := withBody(req, body)
	ownReq.Idempotent = false
	result := make(chan runResult, 1)
	h.detached.Add(1)
	go func() {
		defer h.detached.Done()
		defer release()
		res := h.runRecorded(detached, run, ownReq, svc)
		if res.resp == nil {
			cancel()
		} else {
			res.resp.Body = &closeBody{ReadCloser: res.resp.Body, onEnd: cancel}
		}
		result <- res
	}()
	return await(ctx, result)
}

// await waits for the result of a run. If the caller disconnects, the run continues.
// The run has the same deadline as ctx, and its result is awaited for up to resultGrace
// longer.
func await(ctx context.Context, result <-chan runResult) (*Response, error) {
	select {
	case res := <-result:
		return res.resp, res.err
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		grace := time.NewTimer(resultGrace)
		defer grace.Stop()
		select {
		case res := <-result:
			return res.resp, res.err
		case <-grace.C:
		}
	}
	go func() {
		if res := <-result; res.resp != nil {
			_ = res.resp.Body.Close() // the caller is gone
		}
	}()
	return nil, unknownOutcome(ctx.Err())
}

func unknownOutcome(err error) *refusal.Refusal {
	rf := contextRefusal(err, refusal.Unknown)
	rf.RetryAfter = defaultRetryAfter
	return rf
}

// runRecorded runs the request and records its outcome.
func (h *Handler) runRecorded(ctx context.Context, run *deduplicator.Execution, req *Request, svc *config.Service) runResult {
	resp, err := h.admit(ctx, req, svc)
	if err != nil {
		rf := asRefusal(err)
		if rf.Outcome == refusal.NotRun {
			run.Discard()
		} else {
			h.finish(run, svc, deduplicator.Outcome{Refusal: rf})
		}
		return runResult{err: rf}
	}
	o := deduplicator.Outcome{Status: resp.Status, Target: resp.Target, Region: resp.Region}
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, h.cfg.MaxRecordedResponseBytes+1))
	switch {
	case err != nil:
		o.BodyDropped = true
		h.finish(run, svc, o)
		_ = resp.Body.Close() // the rest is not needed
		_, err = replay(&o)
		return runResult{err: err}
	case int64(len(prefix)) > h.cfg.MaxRecordedResponseBytes:
		o.BodyDropped = true
		h.finish(run, svc, o)
		resp.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(prefix), resp.Body), Closer: resp.Body}
		return runResult{resp: resp}
	}
	o.Header = resp.Header.Clone()
	o.Body = prefix
	o.Trailer = resp.Trailer.Clone()
	h.finish(run, svc, o)
	_ = resp.Body.Close() // it was read completely
	resp.Body = io.NopCloser(bytes.NewReader(prefix))
	if req.Method != http.MethodHead {
		resp.ContentLength = int64(len(prefix))
	}
	return runResult{resp: resp}
}

// finish records the outcome and copies it to the backup. An Unknown outcome is not
// copied, as a missing copy means the same.
func (h *Handler) finish(run *deduplicator.Execution, svc *config.Service, o deduplicator.Outcome) {
	run.Complete(o)
	if h.cfg.Backup == nil || svc.NoCopies {
		return
	}
	if o.Refusal != nil && o.Refusal.Outcome == refusal.Unknown {
		return
	}
	h.cfg.Backup.Copy(run.Key(), run.Request(), &o)
}

// joinedBody combines a Reader and a Closer.
type joinedBody struct {
	io.Reader
	io.Closer
}
