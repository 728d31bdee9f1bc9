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

// endGrace is how long a run may go on past its deadline to say how it ended.
const endGrace = 500 * time.Millisecond

// ofKey returns the refusal of a request with an idempotency key. An earlier
// arrival of it may have run, so only the key's owner can say NotRun.
func (h *Handler) ofKey(text string, rf *refusal.Refusal) *refusal.Refusal {
	k, err := deduplicator.ParseKey(text)
	if err != nil || rf.Outcome != refusal.NotRun {
		return rf
	}
	if h.cfg.Idempotency.Owns(k) && !h.cfg.Idempotency.MayHaveRun(k) {
		return rf
	}
	return withOutcome(rf, refusal.Unknown)
}

// runOnce runs a request with an idempotency key, here or at the key's owner.
func (h *Handler) runOnce(ctx context.Context, in *intake) (*Response, error) {
	f := in.forward
	if h.cfg.Idempotency.Owns(in.key) {
		return h.runOwned(ctx, f, in.service)
	}
	if h.cfg.Relayer == nil {
		return nil, ownerUnreachable()
	}
	if h.cfg.Backup == nil || in.service.NoCopies {
		return h.cfg.Relayer.ToOwner(ctx, in.key.Owner, f)
	}
	return h.runElsewhere(ctx, in)
}

// runElsewhere runs a request at the owner of its key. If the owner cannot be
// reached, it replays the outcome that a backup has of it, if any.
func (h *Handler) runElsewhere(ctx context.Context, in *intake) (*Response, error) {
	body, err := h.onceBody(in.forward, in.service)
	if err != nil {
		return nil, h.ofKey(in.forward.IdempotencyKey, asRefusal(err))
	}
	defer h.hold(body)()
	a, err := h.cfg.Relayer.ToOwner(ctx, in.key.Owner, withBody(in.forward, body))
	if err == nil || asRefusal(err).Code != refusal.CodePeerUnreachable {
		return a, err
	}
	o, recallErr := h.cfg.Backup.Recall(ctx, in.key, requestOf(in.forward, body))
	switch {
	case recallErr != nil:
		return nil, recallErr
	case o == nil:
		return nil, err
	default:
		return replay(o)
	}
}

// requestOf returns what makes the request the same as another one.
func requestOf(f *Request, body []byte) deduplicator.Request {
	return deduplicator.Request{
		Service: f.Service, Workspace: f.Workspace, Method: f.Method, Path: f.Path, Body: sha256.Sum256(body),
	}
}

// withBody returns the request with a body that was read whole.
func withBody(f *Request, body []byte) *Request {
	own := *f
	own.Body = io.NopCloser(bytes.NewReader(body))
	own.ContentLength = int64(len(body))
	if len(own.Trailer) > 0 {
		own.ContentLength = -1
	}
	return &own
}

func ownerUnreachable() *refusal.Refusal {
	rf := refusal.Unavailable(refusal.CodePeerUnreachable,
		"the entry host that owns this idempotency key does not answer; the request may have run", retryTarget)
	return withOutcome(rf, refusal.Unknown)
}

// runOwned runs a request with a key that this host must own.
func (h *Handler) runOwned(ctx context.Context, f *Request, svc *config.Service) (*Response, error) {
	k, err := deduplicator.ParseKey(f.IdempotencyKey)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, refusal.CodeIdempotencyPrefix, err.Error())
	}
	if !h.cfg.Idempotency.Owns(k) {
		return nil, ownerUnreachable()
	}
	body, err := h.onceBody(f, svc)
	if err != nil {
		return nil, h.ofKey(f.IdempotencyKey, asRefusal(err))
	}
	held := h.hold(body)
	run, recorded, err := h.cfg.Idempotency.Begin(ctx, k, requestOf(f, body))
	if err != nil {
		held()
		return nil, asRefusal(err)
	}
	if recorded != nil {
		held()
		return replay(recorded)
	}
	return h.runDetached(ctx, run, f, svc, body, held)
}

// hold returns the function that gives back the memory of a body.
func (h *Handler) hold(body []byte) func() {
	return func() { h.onceBytes.Add(-int64(len(body))) }
}

// onceBody reads the whole body, which must be known before the run begins.
func (h *Handler) onceBody(f *Request, svc *config.Service) ([]byte, error) {
	limit := min(h.cfg.MaxKeyedBodyBytes, svc.BodyLimit())
	if f.ContentLength > limit {
		return nil, bodyTooLarge(refusal.NotRun)
	}
	reserved := f.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if h.onceBytes.Add(reserved) > h.cfg.MaxHeldBodyBytes {
		h.onceBytes.Add(-reserved)
		return nil, refusal.Unavailable(refusal.CodeIdempotencyFull, "too many bodies are held at this host", retryTarget)
	}
	if f.Body == nil {
		f.Body = http.NoBody
	}
	body, err := readAll(f.Body, limit)
	if err != nil {
		h.onceBytes.Add(-reserved)
		if errors.Is(err, errBodyTooLarge) {
			return nil, bodyTooLarge(refusal.NotRun)
		}
		return nil, badRequest("the body was cut short")
	}
	h.onceBytes.Add(int64(len(body)) - reserved)
	return body, nil
}

// replay returns a recorded outcome again.
func replay(o *deduplicator.Outcome) (*Response, error) {
	if o.Refusal != nil {
		return nil, o.Refusal
	}
	if o.BodyDropped {
		return nil, &refusal.Refusal{
			Status:  http.StatusConflict,
			Code:    refusal.CodeIdempotencyDropped,
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

// ending is how a detached run ended for its first caller.
type ending struct {
	answer *Response
	err    error
}

// runDetached runs the request to its end even if the caller leaves.
func (h *Handler) runDetached(ctx context.Context, run *deduplicator.Execution, f *Request, svc *config.Service, body []byte, held func()) (*Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(svc.Timeout())
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	own := withBody(f, body)
	own.Idempotent = false
	ended := make(chan ending, 1)
	h.runs.Add(1)
	go func() {
		defer h.runs.Done()
		defer held()
		e := h.runRecorded(detached, run, own, svc)
		if e.answer == nil {
			cancel()
		} else {
			e.answer.Body = &closeBody{ReadCloser: e.answer.Body, after: cancel}
		}
		ended <- e
	}()
	return await(ctx, ended)
}

// await returns how the run ended. A caller that leaves does not end it; at
// the deadline, which is also the run's, it ends by itself within endGrace.
func await(ctx context.Context, ended <-chan ending) (*Response, error) {
	select {
	case e := <-ended:
		return e.answer, e.err
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		grace := time.NewTimer(endGrace)
		defer grace.Stop()
		select {
		case e := <-ended:
			return e.answer, e.err
		case <-grace.C:
		}
	}
	go func() {
		if e := <-ended; e.answer != nil {
			_ = e.answer.Body.Close() // Nobody waits for the rest.
		}
	}()
	return nil, stillUnknown(ctx.Err())
}

func stillUnknown(err error) *refusal.Refusal {
	rf := ended(err, refusal.Unknown)
	rf.RetryAfter = retryTarget
	return rf
}

// runRecorded runs the request and records its outcome.
func (h *Handler) runRecorded(ctx context.Context, run *deduplicator.Execution, f *Request, svc *config.Service) ending {
	a, err := h.admit(ctx, f, svc)
	if err != nil {
		rf := asRefusal(err)
		if rf.Outcome == refusal.NotRun {
			run.Discard()
		} else {
			h.finish(run, svc, deduplicator.Outcome{Refusal: rf})
		}
		return ending{err: rf}
	}
	o := deduplicator.Outcome{Status: a.Status, Target: a.Target, Region: a.Region}
	head, err := io.ReadAll(io.LimitReader(a.Body, h.cfg.MaxRecordedResponseBytes+1))
	switch {
	case err != nil:
		o.BodyDropped = true
		h.finish(run, svc, o)
		_ = a.Body.Close() // The rest is not wanted.
		_, err = replay(&o)
		return ending{err: err}
	case int64(len(head)) > h.cfg.MaxRecordedResponseBytes:
		o.BodyDropped = true
		h.finish(run, svc, o)
		a.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(head), a.Body), Closer: a.Body}
		return ending{answer: a}
	}
	o.Header = a.Header.Clone()
	o.Body = head
	o.Trailer = a.Trailer.Clone()
	h.finish(run, svc, o)
	_ = a.Body.Close() // It has ended.
	a.Body = io.NopCloser(bytes.NewReader(head))
	if f.Method != http.MethodHead {
		a.ContentLength = int64(len(head))
	}
	return ending{answer: a}
}

// finish records the outcome, and copies it if it tells more than the lack of
// a copy does.
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

// joinedBody reads from one place and closes another.
type joinedBody struct {
	io.Reader
	io.Closer
}
