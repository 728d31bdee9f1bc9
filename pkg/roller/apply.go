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

const (
	// storeTimeout bounds one call of the store, or the storing of all chunks.
	storeTimeout = 5 * time.Second
	// storeRetryInterval is the wait before a write whose result is unknown is
	// repeated.
	storeRetryInterval = 200 * time.Millisecond
	// confirmTimeout bounds one round of Confirm calls, and one read of the seat
	// table.
	confirmTimeout = 2 * time.Second
	// confirmRetryInterval is the time between two rounds.
	confirmRetryInterval = 300 * time.Millisecond
	// acceptTimeout is how long Apply waits for a stored configuration to be
	// accepted.
	acceptTimeout = 10 * time.Second
	// writeIDBytes is the number of random bytes of a write ID.
	writeIDBytes = 8
	// maxRecentWrites bounds Head.Recent.
	maxRecentWrites = 16
)

// ErrConflict is returned if the document was made against another revision than
// the stored one. The document was not stored.
type ErrConflict struct {
	// Base is the revision that the document was made against.
	Base ids.Revision
	// Current is the stored revision.
	Current ids.Revision
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("the document was made against revision %d, but revision %d is stored; nothing was changed",
		e.Base, e.Current)
}

// ErrUnresolved is returned if it is unknown whether the document was stored.
type ErrUnresolved struct {
	// Revision is the document's revision if it was stored.
	Revision ids.Revision
	// WriteID is in Head.WriteID or Head.Recent if the document was stored.
	WriteID string
	Cause   error
}

// Error implements error.
func (e *ErrUnresolved) Error() string {
	return fmt.Sprintf("not known whether revision %d (write %s) was stored: %v; look at the status before trying again",
		e.Revision, e.WriteID, e.Cause)
}

// Unwrap returns Cause.
func (e *ErrUnresolved) Unwrap() error { return e.Cause }

// ErrNotStored is returned if the store could not be read or the document's chunks
// could not be stored. The configuration was not changed.
type ErrNotStored struct {
	Cause error
}

// Error implements error.
func (e *ErrNotStored) Error() string { return fmt.Sprintf("not stored: %v", e.Cause) }

// Unwrap returns Cause.
func (e *ErrNotStored) Unwrap() error { return e.Cause }

// ApplyResult is the state of a stored configuration in the fleet.
type ApplyResult struct {
	Revision ids.Revision
	// Accepted is set once the holders of a majority of the seats, or all holders,
	// confirmed the revision. From then on it cannot be lost or rolled back.
	Accepted bool
	// InForce lists the seat holders that confirmed the revision.
	InForce []ids.Instance
	// Unconfirmed lists the other seat holders. Each of them has the revision in
	// force within fencer.TTL, or has stopped serving.
	Unconfirmed []ids.Instance
}

// Apply stores a document that was made against the revision base. It then waits
// until the revision is accepted, at most acceptTimeout and until ctx ends. The
// error is that of Config.Parse, an *ErrConflict, *ErrNotStored or *ErrUnresolved;
// without an error the document is stored, whether accepted or not.
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
	if err := r.storeHead(ctx, next, version); err != nil {
		return ApplyResult{}, err
	}
	r.cfg.Checker.ConfigStored(next.Revision)
	logflags.Logger(logflags.Config).WithField("revision", next.Revision).Info("configuration stored")
	return r.rollOut(ctx, next), nil
}

// successor returns the head of the revision after h.
func (h Head) successor(document []byte) Head {
	recent := h.Recent
	if h.WriteID != "" {
		recent = slices.Insert(slices.Clone(recent), 0, Write{Revision: h.Revision, WriteID: h.WriteID})
	}
	return Head{
		Revision: h.Revision + 1,
		Document: string(document),
		WriteID:  ids.NewToken(writeIDBytes),
		Recent:   recent[:min(len(recent), maxRecentWrites)],
	}
}

// includesWrite reports whether a write produced h or is one of its recent writes.
func (h Head) includesWrite(id string) bool {
	return h.WriteID == id || slices.ContainsFunc(h.Recent, func(w Write) bool { return w.WriteID == id })
}

// storeHead writes next, and repeats the write until its result is known or ctx
// ends. Repeating is safe: at most one write with the same expected version takes
// effect.
func (r *Roller) storeHead(ctx context.Context, next Head, version platform.Version) error {
	packed, err := r.storeChunks(ctx, next)
	if err != nil {
		return &ErrNotStored{Cause: err}
	}
	value, err := packed.Encode()
	if err != nil {
		return err
	}
	for {
		err := r.storeHeadOnce(ctx, next, version, value)
		var conflict *ErrConflict
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		select {
		case <-time.After(storeRetryInterval):
		case <-ctx.Done():
			return &ErrUnresolved{Revision: next.Revision, WriteID: next.WriteID, Cause: err}
		}
	}
}

// storeHeadOnce sends the write once. On a conflict it reads the head, since the
// conflict may come from an earlier attempt that took effect.
func (r *Roller) storeHeadOnce(ctx context.Context, next Head, version platform.Version, value []byte) error {
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
	if head.includesWrite(next.WriteID) {
		return nil
	}
	return &ErrConflict{Base: next.Revision - 1, Current: head.Revision}
}

// readHead returns the stored head, which is zero if there is none.
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

// rollOut applies a stored configuration here and sends it to all seat holders
// until it is accepted or acceptTimeout has passed.
func (r *Roller) rollOut(ctx context.Context, head Head) ApplyResult {
	if err := r.ApplyHead(head); err != nil {
		logflags.Logger(logflags.Config).WithField("err", err).Error("stored configuration could not be applied on this host; sending it to the peers")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	confirmed := make(map[ids.Instance]bool)
	for {
		table := r.newestTable(ctx)
		r.confirmMissing(ctx, head, table, confirmed)
		result := resultOf(head.Revision, table, confirmed)
		if result.Accepted && len(result.Unconfirmed) == 0 {
			return r.reportAccepted(result)
		}
		select {
		case <-time.After(confirmRetryInterval):
		case <-ctx.Done():
			return r.reportAccepted(result)
		}
		if result.Accepted {
			return r.reportAccepted(result)
		}
	}
}

func (r *Roller) reportAccepted(result ApplyResult) ApplyResult {
	if result.Accepted {
		r.cfg.Checker.ConfigAccepted(result.Revision)
	}
	return result
}

// newestTable returns the seat table in the store or, if the store cannot be read,
// the newest one that this host knows.
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

// confirmMissing asks all seat holders that have not confirmed yet, concurrently,
// and adds those that do to confirmed.
func (r *Roller) confirmMissing(ctx context.Context, head Head, t *seater.Table, confirmed map[ids.Instance]bool) {
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
			if r.confirmHolder(ctx, head, row) == nil {
				mu.Lock()
				defer mu.Unlock()
				confirmed[i] = true
			}
		})
	}
	wg.Wait()
}

// confirmHolder asks one seat holder and returns nil if it confirms. Only a holder
// with a valid lease counts: no other instance can have got its seat.
func (r *Roller) confirmHolder(ctx context.Context, head Head, row seater.Seat) error {
	reply := r.confirmReply()
	if row.Holder != r.cfg.Self {
		var err error
		if reply, err = r.callConfirm(ctx, head, row.PeersAddress); err != nil {
			return err
		}
	}
	switch {
	case ids.Instance(reply.GetInstance()) != row.Holder:
		return errs.New("instance %s replied at %s, which the seat table lists for another instance", reply.GetInstance(), row.PeersAddress)
	case ids.Revision(reply.GetRevision()) < head.Revision:
		return errs.New("%s has revision %d in force", row.Holder, reply.GetRevision())
	case !reply.GetServing():
		return errs.New("%s holds no valid lease", row.Holder)
	}
	return nil
}

// resultOf returns whether a stored configuration is accepted, and by whom it is
// confirmed. If every holder in the stored table confirmed it, no other instance
// can hold a seat, so that no majority is needed.
func resultOf(rev ids.Revision, t *seater.Table, confirmed map[ids.Instance]bool) ApplyResult {
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
