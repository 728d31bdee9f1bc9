package roller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// The bounds of one Apply.
const (
	storeTimeout   = 5 * time.Second
	storeRetry     = 200 * time.Millisecond
	confirmTimeout = 2 * time.Second
	confirmRetry   = 300 * time.Millisecond
	confirmBound   = 10 * time.Second
	writeIDBytes   = 8
	recentWrites   = 16
)

// ErrConflict says that the document was made against another revision than the
// stored one; it was not stored.
type ErrConflict struct {
	// Base is the revision that the document was made against.
	Base ids.Revision
	// Current is the stored one.
	Current ids.Revision
}

// Error names both revisions.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("the document was made against revision %d, but revision %d is stored; nothing was changed",
		e.Base, e.Current)
}

// ErrUnresolved says that it is not known whether the document was stored.
type ErrUnresolved struct {
	// Revision is the revision that it has if it was stored.
	Revision ids.Revision
	// WriteID finds it in the store.
	WriteID string
	Cause   error
}

// Error says that nothing is known, and how to find out.
func (e *ErrUnresolved) Error() string {
	return fmt.Sprintf("not known whether revision %d (write %s) was stored: %v; look at the status before trying again",
		e.Revision, e.WriteID, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrUnresolved) Unwrap() error { return e.Cause }

// ErrNotStored says that the store could not be read, so nothing was written.
type ErrNotStored struct {
	Cause error
}

// Error says that nothing was stored.
func (e *ErrNotStored) Error() string { return fmt.Sprintf("not stored: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrNotStored) Unwrap() error { return e.Cause }

// ApplyResult tells where a stored configuration is in force.
type ApplyResult struct {
	Revision ids.Revision
	// Accepted says that a majority of the seats, or every seated instance,
	// confirmed it: it can no longer be lost or go back.
	Accepted bool
	// InForce and NotYet list the seated instances. One that is not yet there
	// has it in force within fencer.TTL, or has stopped serving.
	InForce     []ids.Instance
	Unconfirmed []ids.Instance
}

// Apply stores a document that was made against the revision base, and waits
// until it is accepted or a bound has passed. It fails with what Parse returned,
// *ErrConflict, *ErrNotStored or *ErrUnresolved; without an error the store
// holds the document.
func (r *Roller) Apply(ctx context.Context, document []byte, base ids.Revision) (ApplyResult, error) {
	if _, err := r.cfg.Parse(document); err != nil {
		return ApplyResult{}, err
	}
	head, version, err := r.readHead(ctx)
	if err != nil {
		return ApplyResult{}, &ErrNotStored{Cause: err}
	}
	if head.Revision != base {
		return ApplyResult{}, &ErrConflict{Base: base, Current: head.Revision}
	}
	next := head.successor(document)
	if err := r.store(ctx, next, version); err != nil {
		return ApplyResult{}, err
	}
	r.cfg.Checker.ConfigStored(next.Revision)
	logflags.Logger(logflags.Config).WithField("revision", next.Revision).Info("configuration stored")
	return r.spread(ctx, next), nil
}

// successor returns the head that follows h.
func (h Head) successor(document []byte) Head {
	recent := h.Recent
	if h.WriteID != "" {
		recent = slices.Insert(slices.Clone(recent), 0, Write{Revision: h.Revision, WriteID: h.WriteID})
	}
	return Head{
		Revision: h.Revision + 1,
		Document: string(document),
		WriteID:  ids.NewToken(writeIDBytes),
		Recent:   recent[:min(len(recent), recentWrites)],
	}
}

// wrote reports whether a write is h or one of the last before it.
func (h Head) wrote(id string) bool {
	return h.WriteID == id || slices.ContainsFunc(h.Recent, func(w Write) bool { return w.WriteID == id })
}

// store writes next, and repeats the write until its result is known. To repeat
// is safe: at most one write of the same expected version takes effect.
func (r *Roller) store(ctx context.Context, next Head, version platform.Version) error {
	packed, err := r.pack(ctx, next)
	if err != nil {
		return &ErrNotStored{Cause: err}
	}
	value, err := packed.Encode()
	if err != nil {
		return err
	}
	for {
		err := r.tryStore(ctx, next, version, value)
		var conflict *ErrConflict
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		select {
		case <-time.After(storeRetry):
		case <-ctx.Done():
			return &ErrUnresolved{Revision: next.Revision, WriteID: next.WriteID, Cause: err}
		}
	}
}

// tryStore sends the write once. A conflict is told apart from an earlier try's
// success by reading back.
func (r *Roller) tryStore(ctx context.Context, next Head, version platform.Version, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.cfg.Store.CompareAndSwap(callCtx, HeadKey, version, value)
	var conflict *platform.ErrConflict
	if err == nil || !errors.As(err, &conflict) {
		return err
	}
	head, _, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if head.wrote(next.WriteID) {
		return nil
	}
	return &ErrConflict{Base: next.Revision - 1, Current: head.Revision}
}

// readHead returns the stored head, which is zero when there is none.
func (r *Roller) readHead(ctx context.Context) (Head, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := r.cfg.Store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	if e.Version == 0 {
		return Head{}, 0, nil
	}
	head, err := DecodeHead(e.Value)
	return head, e.Version, err
}

// spread gives a stored configuration to all seated instances until it is
// accepted or the bound has passed.
func (r *Roller) spread(ctx context.Context, head Head) ApplyResult {
	if err := r.ApplyHead(head); err != nil {
		logflags.Logger(logflags.Config).WithField("err", err).Error("stored configuration not in force here")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmBound)
	defer cancel()
	confirmed := make(map[ids.Instance]bool)
	for {
		table := r.newestTable(ctx)
		r.confirmAll(ctx, head, table, confirmed)
		result := judge(head.Revision, table, confirmed)
		if result.Accepted && len(result.Unconfirmed) == 0 {
			return r.accepted(result)
		}
		select {
		case <-time.After(confirmRetry):
		case <-ctx.Done():
			return r.accepted(result)
		}
		if result.Accepted {
			return r.accepted(result)
		}
	}
}

func (r *Roller) accepted(result ApplyResult) ApplyResult {
	if result.Accepted {
		r.cfg.Checker.ConfigAccepted(result.Revision)
	}
	return result
}

// newestTable returns the stored seat table, or the newest one known.
func (r *Roller) newestTable(ctx context.Context) *seater.Table {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	e, err := r.cfg.Store.Get(ctx, SeatsKey)
	if err == nil && e.Version > 0 {
		if t, err := seater.Decode(e.Value); err == nil {
			r.ApplyTable(t)
		}
	}
	if t := r.StoredTable(); t != nil {
		return t
	}
	return &seater.Table{}
}

// confirmAll asks each seated instance that has not confirmed yet.
func (r *Roller) confirmAll(ctx context.Context, head Head, t *seater.Table, confirmed map[ids.Instance]bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, i := range t.Holders() {
		row, _ := t.SeatOf(i)
		mu.Lock()
		known := confirmed[i]
		mu.Unlock()
		if known {
			continue
		}
		wg.Go(func() {
			if r.confirm(ctx, head, row) == nil {
				mu.Lock()
				defer mu.Unlock()
				confirmed[i] = true
			}
		})
	}
	wg.Wait()
}

// confirm asks one seated instance. Only an instance with a valid lease counts:
// its seat cannot have gone to another one before.
func (r *Roller) confirm(ctx context.Context, head Head, row seater.Seat) error {
	reply := r.confirmation()
	if row.Holder != r.cfg.Self {
		var err error
		if reply, err = r.askToConfirm(ctx, head, row.PeersAddress); err != nil {
			return err
		}
	}
	switch {
	case ids.Instance(reply.GetInstance()) != row.Holder:
		return errs.New("instance %s answers at %s", reply.GetInstance(), row.PeersAddress)
	case ids.Revision(reply.GetRevision()) < head.Revision:
		return errs.New("%s has revision %d in force", row.Holder, reply.GetRevision())
	case !reply.GetServing():
		return errs.New("%s holds no valid lease", row.Holder)
	}
	return nil
}

// judge tells whether a stored configuration is accepted. When every instance
// of the stored table has it, no other instance can hold a seat and act.
func judge(rev ids.Revision, t *seater.Table, confirmed map[ids.Instance]bool) ApplyResult {
	result := ApplyResult{Revision: rev}
	for _, i := range t.Holders() {
		if confirmed[i] {
			result.InForce = append(result.InForce, i)
		} else {
			result.Unconfirmed = append(result.Unconfirmed, i)
		}
	}
	result.Accepted = t.HasMajority(result.InForce) || len(result.InForce) > 0 && len(result.Unconfirmed) == 0
	return result
}
