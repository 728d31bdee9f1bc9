package slotsim

import (
	"context"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// Crash ends the host on a seat at once: its requests are cut.
func (f *Fleet) Crash(seat int) {
	h := f.HostAt(seat)
	if h == nil {
		return
	}
	h.cancel()
	f.Checker.SlotHostStopped(h.ID, f.timeout)
	f.forget(h)
	h.stop()
}

// Pause stops the host on a seat for longer than its lease. Its requests go on
// at the targets. It never gets its seat back.
func (f *Fleet) Pause(seat int) {
	h := f.HostAt(seat)
	if h == nil {
		return
	}
	h.paused.Store(true)
	f.Checker.SlotHostStopped(h.ID, f.timeout)
	f.forget(h)
	f.running.Go(func() {
		time.Sleep(2 * f.cfg.Timeout)
		h.stop()
	})
}

// forget frees the seats of a host that did not release them.
func (f *Fleet) forget(h *Host) {
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

// Stop ends the host on a seat gracefully, at most until limit has passed.
func (f *Fleet) Stop(seat int, limit time.Duration) {
	h := f.HostAt(seat)
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, limit)
	defer cancel()
	err := h.Slotter.Drain(ctx)
	h.cancel()
	f.Checker.SlotHostStopped(h.ID, f.timeout)
	f.forget(h)
	if err == nil {
		f.mu.Lock()
		f.table.Seats[seat].Unclean = false
		f.mu.Unlock()
	}
	h.stop()
}

// Replace starts a new host on a seat that nobody holds.
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
	snap := f.snap
	f.mu.Unlock()
	h.configure(snap)
	f.spreadTable(t)
}

// Resize adds a seat to the region, or takes away one that nobody holds.
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
	f.resizedAt = t.Revision
	f.mu.Unlock()
	f.spreadTable(t)
	f.running.Go(func() { f.settle(t.Revision) })
}

// settle notes in the table that all hosts know of its seats.
func (f *Fleet) settle(revision ids.SeatRevision) {
	timer := time.NewTimer(maxSpread + fencer.TTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resizedAt == revision {
		f.table = f.table.Clone()
		f.table.Revision++
		f.table.ResizedFrom = 0
	}
}

// spreadTable gives the table to all hosts, some later than others.
func (f *Fleet) spreadTable(t *seater.Table) {
	for _, h := range f.all() {
		f.later(func() { h.Slotter.SetTable(h.ID, t) })
	}
}

// Reconfigure gives all targets another number of slots. Each host learns it at
// some time within the serving lease.
func (f *Fleet) Reconfigure(slots int) {
	f.mu.Lock()
	f.snap = config.NewSnapshot(f.snap.Revision+1, f.document(slots))
	snap := f.snap
	f.mu.Unlock()
	f.allow(snap, slots)
	for _, h := range f.all() {
		f.later(func() { h.configure(snap) })
	}
}

// allow sets the slots that the targets count by: more at once, and fewer when
// the requests that began under the old number have ended.
func (f *Fleet) allow(snap *config.Snapshot, slots int) {
	for _, t := range f.targets {
		if t.Slots() < slots {
			t.SetSlots(slots)
		}
	}
	f.running.Go(func() {
		t := time.NewTimer(maxSpread + fencer.TTL + 2*f.cfg.Timeout)
		defer t.Stop()
		select {
		case <-t.C:
		case <-f.ctx.Done():
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.snap != snap {
			return // A later change says how many there are.
		}
		for _, t := range f.targets {
			t.SetSlots(slots)
		}
	})
}

func (f *Fleet) all() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		all = append(all, h)
	}
	return all
}

// maxSpread is how late a host may learn of a change: within its lease.
const maxSpread = 5 * time.Second

// later calls apply at a random time, every other time at once.
func (f *Fleet) later(apply func()) {
	f.mu.Lock()
	wait := time.Duration(f.rng.Int64N(int64(maxSpread)))
	if f.rng.IntN(2) == 0 {
		wait = 0
	}
	f.mu.Unlock()
	f.running.Go(func() {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
			apply()
		case <-f.ctx.Done():
		}
	})
}

// timeout returns how long a request can run at any target.
func (f *Fleet) timeout(ids.Target) time.Duration { return f.cfg.Timeout }
