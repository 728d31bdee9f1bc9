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

// conflictWait bounds the random wait after a lost race for the table.
const conflictWait = 100 * time.Millisecond

// rule makes the table that follows, or fails when nothing is to be changed.
type rule func(t *seater.Table) (*seater.Table, error)

// manageLoop looks at the seats at each change of the table, and every
// manageEvery.
func (k *Leaseholder) manageLoop(ctx context.Context) {
	var spare spareSeats
	for ctx.Err() == nil {
		wait := manageEvery
		err := k.manage(ctx, &spare)
		var conflict *platform.ErrConflict
		if errors.As(err, &conflict) {
			wait = rand.N(conflictWait)
		}
		if due := spare.wait(); due > 0 {
			wait = min(wait, due)
		}
		k.setStatus(func(s *status) { s.seatErr = err })
		pause(ctx, wait, k.kick)
	}
}

// manage takes one look at the seats and does what is due.
func (k *Leaseholder) manage(ctx context.Context, spare *spareSeats) error {
	spare.next = time.Time{}
	lease, err := k.ensureLease(ctx)
	if err != nil {
		k.askSeeds(ctx)
		return err
	}
	t := k.cfg.Roller.Stored()
	if t == nil || len(t.Seats) == 0 {
		return k.change(ctx, k.create)
	}
	if _, ok := t.SeatOf(k.cfg.Self.Instance); !ok {
		return k.obtain(ctx, t, lease)
	}
	return k.maintain(ctx, t, lease, spare)
}

// ensureLease returns the lease at the store, and gets one if there is none.
func (k *Leaseholder) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	if lease != "" {
		return lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	lease, err := k.cfg.Store.Grant(ctx, StoreTTL)
	if err != nil {
		return "", err
	}
	k.mu.Lock()
	k.lease = lease
	k.mu.Unlock()
	wake(k.renewNow)
	return lease, nil
}

// askSeeds takes the newest configuration and table of the seeds as long as
// the store has given none.
func (k *Leaseholder) askSeeds(ctx context.Context) {
	if k.cfg.Roller.Stored() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	for _, address := range k.cfg.Seeds {
		if err := k.fetch(ctx, address); err != nil {
			logflags.Logger(logflags.Config).WithField("peer", address).WithField("err", err).Warn("fetch failed")
		}
	}
}

// change reads the table, applies a rule to it and writes the result. Whoever
// loses the answer of the write sees the result in the next read.
func (k *Leaseholder) change(ctx context.Context, r rule) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	e, err := k.cfg.Store.Get(ctx, roller.SeatsKey)
	if err != nil {
		return err
	}
	t := &seater.Table{}
	if e.Version > 0 {
		if t, err = seater.Decode(e.Value); err != nil {
			return err
		}
		if err := k.applyTable(e); err != nil {
			return err
		}
	}
	next, err := r(t)
	if err != nil {
		return err
	}
	if err := seater.CheckTransition(t, next); err != nil {
		return err
	}
	return k.write(ctx, e.Version, next)
}

// write stores a table and brings it into force.
func (k *Leaseholder) write(ctx context.Context, expect platform.Version, t *seater.Table) error {
	b, err := t.Encode()
	if err != nil {
		return err
	}
	v, err := k.cfg.Store.CompareAndSwap(ctx, roller.SeatsKey, expect, b)
	if err != nil {
		return err
	}
	logflags.Logger(logflags.Seats).WithField("revision", t.Revision).Info("seat table written")
	err = k.applyTable(platform.Entry{Value: b, Version: v})
	wake(k.renewNow)
	return err
}

// create makes the first table from the configuration.
func (k *Leaseholder) create(t *seater.Table) (*seater.Table, error) {
	if len(t.Seats) > 0 {
		return nil, nothingToDo("create")
	}
	regions, err := k.seatRegions()
	if err != nil {
		return nil, err
	}
	return t.Resize(regions)
}

func (k *Leaseholder) seatRegions() ([]ids.Region, error) {
	s := k.cfg.Roller.Snapshot()
	if s == nil {
		return nil, errs.New("no configuration yet")
	}
	return s.SeatRegions(), nil
}

func nothingToDo(step string) error {
	return &seater.ErrTransition{Transition: step, Reason: "another instance did it"}
}

// obtain gets a seat for an instance that has none: its predecessor's at the
// same address, a free one, a further one of another holder, or a silent
// holder's.
func (k *Leaseholder) obtain(ctx context.Context, t *seater.Table, lease platform.LeaseID) error {
	h := k.cfg.Self
	h.Lease = string(lease)
	err := k.change(ctx, func(t *seater.Table) (*seater.Table, error) { return obtainRule(t, h) })
	var step *seater.ErrTransition
	if !errors.As(err, &step) {
		return err
	}
	for _, i := range t.Holders() {
		row, _ := t.SeatOf(i)
		if row.Region == h.Region {
			if reclaimErr := k.reclaimIfSilent(ctx, t, row); reclaimErr == nil {
				return nil
			}
		}
	}
	return err
}

func obtainRule(t *seater.Table, h seater.Holder) (*seater.Table, error) {
	if _, ok := t.SeatOf(h.Instance); ok {
		return nil, nothingToDo("obtain")
	}
	if next, err := t.TakeOver(h); err == nil {
		return next, nil
	}
	if free := freeSeats(t, h.Region); len(free) > 0 {
		return t.Claim(h, free[rand.IntN(len(free))])
	}
	for _, s := range t.Seats {
		if s.RequestedBy == h.Instance {
			return nil, &seater.ErrTransition{Transition: "want", Reason: "a seat is already asked for"}
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

// maintain does what is due for an instance that holds a seat.
func (k *Leaseholder) maintain(ctx context.Context, t *seater.Table, lease platform.LeaseID, spare *spareSeats) error {
	self := k.cfg.Self.Instance
	row, _ := t.SeatOf(self)
	if row.Lease != string(lease) {
		return k.change(ctx, func(t *seater.Table) (*seater.Table, error) { return t.ReplaceLease(self, string(lease)) })
	}
	if n, ok := wantedSeat(t, self); ok {
		return k.yield(ctx, n)
	}
	if regions, err := k.seatRegions(); err == nil {
		if _, err := t.Resize(regions); err == nil {
			return k.change(ctx, func(t *seater.Table) (*seater.Table, error) { return t.Resize(regions) })
		}
	}
	if n, ok := spare.due(t, k.cfg.Self); ok {
		h := k.cfg.Self
		h.Lease = string(lease)
		return k.change(ctx, func(t *seater.Table) (*seater.Table, error) { return t.Claim(h, n) })
	}
	if t.ResizedFrom > 0 {
		return k.settle(ctx, t)
	}
	return k.lookAtNext(ctx, t)
}

// wantedSeat returns a seat of a holder of several that another instance asks for.
func wantedSeat(t *seater.Table, self ids.Instance) (ids.Seat, bool) {
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

// yield gives up one seat. This instance stops using it first, and gives no
// promise until the result of the write is known. A seat whose slots do not
// become free in time is given up as unclean.
func (k *Leaseholder) yield(ctx context.Context, n ids.Seat) error {
	clean := k.vacate(ctx, n)
	err := k.change(ctx, func(t *seater.Table) (*seater.Table, error) {
		next, err := t.ReleaseSeat(k.cfg.Self.Instance, n, clean)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		k.yieldedAt = t.Revision
		k.mu.Unlock()
		k.cfg.Roller.Renounce(n)
		return next, nil
	})
	if err != nil && k.cfg.SeatDrainer != nil {
		k.cfg.SeatDrainer.UndrainSeat(n)
	}
	return err
}

// vacate waits a bounded time until the seat's slots are free, and reports
// whether they are.
func (k *Leaseholder) vacate(ctx context.Context, n ids.Seat) bool {
	if k.cfg.SeatDrainer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, vacateTimeout)
	defer cancel()
	return k.cfg.SeatDrainer.DrainSeat(ctx, n) == nil
}

// isYielding reports whether the write that gives a seat up may still take
// effect. Any newer table decides it.
func (k *Leaseholder) isYielding() bool {
	_, known := k.cfg.Roller.Newest()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.yieldedAt != 0 && known <= k.yieldedAt
}

// release gives all seats and the store lease back, until ctx ends.
func (k *Leaseholder) release(ctx context.Context) error {
	k.mu.Lock()
	lease := k.lease
	rested := time.Since(k.seatedAt) > config.MaxTimeout
	k.mu.Unlock()
	for {
		err := k.change(ctx, func(t *seater.Table) (*seater.Table, error) {
			return t.ReleaseAll(k.cfg.Self.Instance, rested)
		})
		var step *seater.ErrTransition
		if err == nil || errors.As(err, &step) {
			break
		}
		if pause(ctx, conflictWait, nil); ctx.Err() != nil {
			return err
		}
	}
	if lease == "" {
		return nil
	}
	return k.cfg.Store.Revoke(ctx, lease)
}
