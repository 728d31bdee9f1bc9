package slotsim

import (
	"context"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// Crash stops the host on a seat at once and cancels its requests. It does nothing
// if no host holds the seat.
func (f *Fleet) Crash(seat int) {
	h := f.HostAt(seat)
	if h == nil {
		return
	}
	h.cancel()
	f.Checker.SlotHostStopped(h.ID, f.requestTimeout)
	f.expireSeats(h)
	h.stop()
}

// Pause suspends the host on a seat until its lease has expired, so that it loses
// the seat for good. Its requests continue at the targets. Pause does nothing if no
// host holds the seat.
func (f *Fleet) Pause(seat int) {
	h := f.HostAt(seat)
	if h == nil {
		return
	}
	h.paused.Store(true)
	f.Checker.SlotHostStopped(h.ID, f.requestTimeout)
	f.expireSeats(h)
	f.goroutines.Go(func() {
		time.Sleep(2 * f.cfg.Timeout)
		h.stop()
	})
}

// expireSeats removes a host and frees its seats as unclean, as the expiry of its
// lease does.
func (f *Fleet) expireSeats(h *Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, h.ID)
	t := f.table.Clone()
	for i := range t.Seats {
		if t.Seats[i].Holder == h.ID {
			t.Seats[i].Holder = ""
			t.Seats[i].Unclean = true
		}
	}
	f.table = t
}

// Stop drains and stops the host on a seat. The seat is unclean if the drain takes
// longer than limit. Stop does nothing if no host holds the seat.
func (f *Fleet) Stop(seat int, limit time.Duration) {
	h := f.HostAt(seat)
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, limit)
	defer cancel()
	err := h.Slotter.Drain(ctx)
	h.cancel()
	f.Checker.SlotHostStopped(h.ID, f.requestTimeout)
	f.expireSeats(h)
	if err == nil {
		f.mu.Lock()
		f.table.Seats[seat].Unclean = false
		f.mu.Unlock()
	}
	h.stop()
}

// Replace starts a new host on a free seat. It does nothing if the seat is held or
// does not exist.
func (f *Fleet) Replace(seat int) {
	f.mu.Lock()
	if seat >= len(f.table.Seats) || f.table.Seats[seat].Holder != "" || f.table.Seats[seat].Region == "" {
		f.mu.Unlock()
		return
	}
	h := f.startHost()
	t := f.table.Clone()
	t.Revision++
	t.Seats[seat].Holder = h.ID
	t.Seats[seat].Epoch++
	f.table = t
	snap := f.snapshot
	f.mu.Unlock()
	h.configure(snap)
	f.distributeTable(t)
}

// Resize adds the seat to the region if it does not exist or was removed, and
// removes it if it is free. If the seat is held, only the table's revision changes.
func (f *Fleet) Resize(seat int) {
	f.mu.Lock()
	t := f.table.Clone()
	t.Revision++
	switch {
	case seat >= len(t.Seats):
		t.ResizedFrom = len(t.Seats)
		t.Seats = append(t.Seats, seater.Seat{Number: ids.Seat(len(t.Seats)), Region: Region, Epoch: 1})
	case t.Seats[seat].Region == "":
		t.Seats[seat].Region = Region
		t.ResizedFrom = len(t.Seats)
	case t.Seats[seat].Holder == "":
		t.Seats[seat].Region = ""
	}
	f.table = t
	f.resizeRevision = t.Revision
	f.mu.Unlock()
	f.distributeTable(t)
	f.goroutines.Go(func() { f.commitResize(t.Revision) })
}

// commitResize commits a Resize in the table once all hosts have received it.
func (f *Fleet) commitResize(revision ids.SeatRevision) {
	timer := time.NewTimer(maxDistributionDelay + fencer.TTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resizeRevision == revision {
		f.table = f.table.Clone()
		f.table.Revision++
		f.table.ResizedFrom = 0
	}
}

// distributeTable sends the table to all hosts, with random delays.
func (f *Fleet) distributeTable(t *seater.Table) {
	for _, h := range f.allHosts() {
		f.afterRandomDelay(func() { h.Slotter.SetTable(h.ID, t) })
	}
}

// Reconfigure sets the number of slots of all targets. Each host receives the change
// after a random delay, within its serving lease.
func (f *Fleet) Reconfigure(slots int) {
	f.mu.Lock()
	f.snapshot = config.NewSnapshot(f.snapshot.Revision+1, f.document(slots))
	snap := f.snapshot
	f.mu.Unlock()
	f.setTargetSlots(snap, slots)
	for _, h := range f.allHosts() {
		f.afterRandomDelay(func() { h.configure(snap) })
	}
}

// setTargetSlots sets the limit that the targets themselves check. It applies an
// increase at once, and a decrease when the requests that began under the old limit
// have ended.
func (f *Fleet) setTargetSlots(snap *config.Snapshot, slots int) {
	for _, t := range f.targets {
		if t.Slots() < slots {
			t.SetSlots(slots)
		}
	}
	f.goroutines.Go(func() {
		t := time.NewTimer(maxDistributionDelay + fencer.TTL + 2*f.cfg.Timeout)
		defer t.Stop()
		select {
		case <-t.C:
		case <-f.ctx.Done():
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.snapshot != snap {
			return // A later Reconfigure sets the limit.
		}
		for _, t := range f.targets {
			t.SetSlots(slots)
		}
	})
}

func (f *Fleet) allHosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		all = append(all, h)
	}
	return all
}

// maxDistributionDelay is the longest time until a host receives a change. It must
// be shorter than the serving lease.
const maxDistributionDelay = 5 * time.Second

// afterRandomDelay calls apply in a goroutine after up to maxDistributionDelay, and
// without delay in half of the cases.
func (f *Fleet) afterRandomDelay(apply func()) {
	f.mu.Lock()
	wait := time.Duration(f.rng.Int64N(int64(maxDistributionDelay)))
	if f.rng.IntN(2) == 0 {
		wait = 0
	}
	f.mu.Unlock()
	f.goroutines.Go(func() {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
			apply()
		case <-f.ctx.Done():
		}
	})
}

// requestTimeout returns the timeout of requests to a target. It is the same for all.
func (f *Fleet) requestTimeout(ids.Target) time.Duration { return f.cfg.Timeout }
