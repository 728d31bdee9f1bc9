package leaseholder

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// maxConflictBackoff bounds the random wait after a write conflict of the table.
const maxConflictBackoff = 100 * time.Millisecond

// transition returns the next table, or an error if nothing is to be changed.
type transition func(t *seater.Table) (*seater.Table, error)

// seatLoop checks the seats after each change of the table, and every
// seatCheckInterval.
func (l *Leaseholder) seatLoop(ctx context.Context) {
	var spare spareSeats
	for ctx.Err() == nil {
		wait := seatCheckInterval
		err := l.manageSeats(ctx, &spare)
		var conflict *platform.ErrConflict
		if errors.As(err, &conflict) {
			wait = rand.N(maxConflictBackoff)
		}
		if due := spare.untilDue(); due > 0 {
			wait = min(wait, due)
		}
		l.updateStatus(func(s *status) { s.seatErr = err })
		pause(ctx, wait, l.wakeSeatLoop)
	}
}

// manageSeats checks the seats once and makes at most one change of the table.
func (l *Leaseholder) manageSeats(ctx context.Context, spare *spareSeats) error {
	spare.nextDue = time.Time{}
	lease, err := l.ensureLease(ctx)
	if err != nil {
		l.fetchFromSeeds(ctx)
		return err
	}
	t := l.cfg.Roller.StoredTable()
	if t == nil || len(t.Seats) == 0 {
		return l.updateTable(ctx, l.createTable)
	}
	if _, ok := t.SeatOf(l.cfg.Self.Instance); !ok {
		return l.obtainSeat(ctx, t, lease)
	}
	return l.maintainSeats(ctx, t, lease, spare)
}

// ensureLease returns the lease at the store, and requests one if there is none.
func (l *Leaseholder) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease != "" {
		return lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := l.cfg.Store.Grant(ctx, StoreLeaseTTL)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.lease = lease
	l.mu.Unlock()
	wake(l.renewNow)
	return lease, nil
}

// fetchFromSeeds fetches the newest configuration and table from the seeds
// unless a table is known already.
func (l *Leaseholder) fetchFromSeeds(ctx context.Context) {
	if l.cfg.Roller.StoredTable() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	for _, address := range l.cfg.Seeds {
		if err := l.fetchFromPeer(ctx, address); err != nil {
			logflags.Logger(logflags.Config).WithField("peer", address).WithField("err", err).Warn("cannot fetch the configuration from a seed peer; trying the remaining seeds")
		}
	}
}

// updateTable reads the table, applies a transition to it and writes the result.
// If the answer to the write is lost, the next read shows whether it succeeded.
func (l *Leaseholder) updateTable(ctx context.Context, apply transition) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := l.cfg.Store.Get(ctx, roller.SeatsKey)
	if err != nil {
		return err
	}
	t := &seater.Table{}
	if e.Version > 0 {
		if t, err = seater.Decode(e.Value); err != nil {
			return err
		}
		if err := l.applyTable(e); err != nil {
			return err
		}
	}
	next, err := apply(t)
	if err != nil {
		return err
	}
	if err := seater.CheckTransition(t, next); err != nil {
		return err
	}
	return l.writeTable(ctx, e.Version, next)
}

// writeTable stores a table by compare-and-swap and applies it here.
func (l *Leaseholder) writeTable(ctx context.Context, expect platform.Version, t *seater.Table) error {
	b, err := t.Encode()
	if err != nil {
		return err
	}
	v, err := l.cfg.Store.CompareAndSwap(ctx, roller.SeatsKey, expect, b)
	if err != nil {
		return err
	}
	logflags.Logger(logflags.Seats).WithField("revision", t.Revision).Info("seat table written")
	err = l.applyTable(platform.Entry{Value: b, Version: v})
	wake(l.renewNow)
	return err
}

// createTable returns the first table, with the seats of the configuration.
func (l *Leaseholder) createTable(t *seater.Table) (*seater.Table, error) {
	if len(t.Seats) > 0 {
		return nil, alreadyDone("create")
	}
	regions, err := l.seatRegions()
	if err != nil {
		return nil, err
	}
	return t.Resize(regions)
}

func (l *Leaseholder) seatRegions() ([]ids.Region, error) {
	s := l.cfg.Roller.Snapshot()
	if s == nil {
		return nil, errs.New("no configuration is in force yet")
	}
	return s.SeatRegions(), nil
}

func alreadyDone(name string) error {
	return &seater.ErrTransition{Transition: name, Reason: "another instance has already made this change"}
}

// obtainSeat gets a seat for an instance that has none: the seats of its
// predecessor at the same address, a free one, one of a holder of several, or
// those of a holder whose store lease has expired.
func (l *Leaseholder) obtainSeat(ctx context.Context, t *seater.Table, lease platform.LeaseID) error {
	h := l.cfg.Self
	h.Lease = string(lease)
	err := l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) { return obtainTransition(t, h) })
	var notAllowed *seater.ErrTransition
	if !errors.As(err, &notAllowed) {
		return err
	}
	for _, i := range t.Holders() {
		row, _ := t.SeatOf(i)
		if row.Region == h.Region {
			if reclaimErr := l.reclaimIfExpired(ctx, t, row); reclaimErr == nil {
				return nil
			}
		}
	}
	return err
}

func obtainTransition(t *seater.Table, h seater.Holder) (*seater.Table, error) {
	if _, ok := t.SeatOf(h.Instance); ok {
		return nil, alreadyDone("obtain")
	}
	if next, err := t.TakeOver(h); err == nil {
		return next, nil
	}
	if free := freeSeats(t, h.Region); len(free) > 0 {
		return t.Claim(h, free[rand.IntN(len(free))])
	}
	for _, s := range t.Seats {
		if s.RequestedBy == h.Instance {
			return nil, &seater.ErrTransition{Transition: "want", Reason: "a seat has already been requested"}
		}
	}
	for _, s := range t.Seats {
		if s.RequestedBy != "" {
			continue
		}
		if next, err := t.RequestSeat(h, s.Number); err == nil {
			return next, nil
		}
	}
	return nil, &seater.ErrTransition{Transition: "claim", Reason: "no seat of region " + string(h.Region) + " is free"}
}

func freeSeats(t *seater.Table, r ids.Region) []ids.Seat {
	var free []ids.Seat
	for _, s := range t.Seats {
		if s.Holder == "" && s.Region == r {
			free = append(free, s.Number)
		}
	}
	return free
}

// maintainSeats makes the change of the table that is due for an instance that
// holds a seat.
func (l *Leaseholder) maintainSeats(ctx context.Context, t *seater.Table, lease platform.LeaseID, spare *spareSeats) error {
	self := l.cfg.Self.Instance
	row, _ := t.SeatOf(self)
	if row.Lease != string(lease) {
		return l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) { return t.ReplaceLease(self, string(lease)) })
	}
	if n, ok := requestedSeat(t, self); ok {
		return l.releaseSeat(ctx, n)
	}
	if regions, err := l.seatRegions(); err == nil {
		if _, err := t.Resize(regions); err == nil {
			return l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) { return t.Resize(regions) })
		}
	}
	if n, ok := spare.dueSeat(t, l.cfg.Self); ok {
		h := l.cfg.Self
		h.Lease = string(lease)
		return l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) { return t.Claim(h, n) })
	}
	if t.ResizedFrom > 0 {
		return l.commitResize(ctx, t)
	}
	return l.reclaimNext(ctx, t)
}

// requestedSeat returns a seat of self that another instance has requested, if
// self holds several.
func requestedSeat(t *seater.Table, self ids.Instance) (ids.Seat, bool) {
	held := t.SeatsOf(self)
	if len(held) < 2 {
		return 0, false
	}
	for _, s := range held {
		if s.RequestedBy != "" {
			return s.Number, true
		}
	}
	return 0, false
}

// releaseSeat releases one of several seats. This instance stops using it first,
// and gives no promise until the result of the write is known. A seat whose
// slots do not become free in time is released as unclean.
func (l *Leaseholder) releaseSeat(ctx context.Context, n ids.Seat) error {
	clean := l.drainSeat(ctx, n)
	err := l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) {
		next, err := t.ReleaseSeat(l.cfg.Self.Instance, n, clean)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		l.releasedFrom = t.Revision
		l.mu.Unlock()
		l.cfg.Roller.HideSeat(n)
		return next, nil
	})
	if err != nil && l.cfg.SeatDrainer != nil {
		l.cfg.SeatDrainer.UndrainSeat(n)
	}
	return err
}

// drainSeat waits up to drainTimeout until the seat's slots are free, and
// reports whether they are.
func (l *Leaseholder) drainSeat(ctx context.Context, n ids.Seat) bool {
	if l.cfg.SeatDrainer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return l.cfg.SeatDrainer.DrainSeat(ctx, n) == nil
}

// isReleasing reports whether the write that releases a seat may still take
// effect. It cannot once a newer table is known.
func (l *Leaseholder) isReleasing() bool {
	_, known := l.cfg.Roller.NewestRevisions()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releasedFrom != 0 && known <= l.releasedFrom
}

// releaseAll releases all seats, with retries until ctx ends, and then revokes
// the store lease.
func (l *Leaseholder) releaseAll(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	predecessorsDone := time.Since(l.seatedAt) > config.MaxTimeout
	l.mu.Unlock()
	for {
		err := l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) {
			return t.ReleaseAll(l.cfg.Self.Instance, predecessorsDone)
		})
		var notAllowed *seater.ErrTransition
		if err == nil || errors.As(err, &notAllowed) {
			break
		}
		if pause(ctx, maxConflictBackoff, nil); ctx.Err() != nil {
			return err
		}
	}
	if lease == "" {
		return nil
	}
	return l.cfg.Store.Revoke(ctx, lease)
}
