package checker

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// seatChecks holds the reported leases, seats and revisions.
type seatChecks struct {
	instances map[ids.Instance]*instanceState
	// stored holds the revisions reported by ConfigStored.
	stored map[ids.Revision]bool
	// accepted is the highest accepted revision, acceptedAt when it was reported.
	accepted   ids.Revision
	acceptedAt time.Time
}

// instanceState is the state of one instance as last reported by it.
type instanceState struct {
	leaseValidUntil time.Time
	seats           []ids.Seat
	inForce         ids.Revision
	// ended is set by InstanceEnded; later reports of the instance are ignored.
	ended bool
}

// LeaseRenewed reports that an instance's serving lease is valid until a time, by a
// renewal that it sent at sentAt. A renewal sent after a revision was accepted
// requires that the instance has that revision in force. No two instances with
// valid leases may hold the same seat.
func (c *Checker) LeaseRenewed(i ids.Instance, sentAt, until time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.instance(i)
	if s.ended {
		return
	}
	if s.inForce < c.seats.accepted && sentAt.After(c.seats.acceptedAt) {
		c.breach("lease: %s renewed with revision %d in force after revision %d was accepted",
			i, s.inForce, c.seats.accepted)
	}
	if until.After(s.leaseValidUntil) {
		s.leaseValidUntil = until
	}
	c.checkSeats(i, s)
}

// SeatsHeld reports all seats that an instance holds by the newest seat table that
// it knows.
func (c *Checker) SeatsHeld(i ids.Instance, seats []ids.Seat) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.instance(i)
	if s.ended || slices.Equal(s.seats, seats) {
		return
	}
	s.seats = slices.Clone(seats)
	c.note("seats: %s holds %v", i, seats)
	c.checkSeats(i, s)
}

// InstanceEnded reports that an instance stopped or crashed. It no longer holds a
// lease or seats.
func (c *Checker) InstanceEnded(i ids.Instance) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("instance %s ended", i)
	*c.instance(i) = instanceState{ended: true}
}

// ConfigInForce reports that an instance has a new revision in force. Its revisions
// must increase.
func (c *Checker) ConfigInForce(i ids.Instance, rev ids.Revision) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.instance(i)
	if s.ended {
		return
	}
	if rev <= s.inForce {
		c.breach("revision: %s went from revision %d to %d", i, s.inForce, rev)
	}
	s.inForce = rev
	c.note("revision: %s has %d in force", i, rev)
}

// ConfigStored reports that an operator got the reply that its document is stored
// as a revision. Only one operator may get this reply for a revision.
func (c *Checker) ConfigStored(rev ids.Revision) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("revision: %d is stored", rev)
	if c.seats.stored[rev] {
		c.breach("revision: %d was stored twice", rev)
	}
	if c.seats.stored == nil {
		c.seats.stored = make(map[ids.Revision]bool)
	}
	c.seats.stored[rev] = true
}

// ConfigAccepted reports that an operator got the reply that a revision is
// accepted.
func (c *Checker) ConfigAccepted(rev ids.Revision) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("revision: %d is accepted", rev)
	if rev > c.seats.accepted {
		c.seats.accepted = rev
		c.seats.acceptedAt = time.Now()
	}
}

// instance returns the state of an instance. The caller holds mu.
func (c *Checker) instance(i ids.Instance) *instanceState {
	if c.seats.instances == nil {
		c.seats.instances = make(map[ids.Instance]*instanceState)
	}
	s, ok := c.seats.instances[i]
	if !ok {
		s = &instanceState{}
		c.seats.instances[i] = s
	}
	return s
}

// checkSeats records a breach if another instance with a valid lease holds one of
// i's seats. The caller holds mu.
func (c *Checker) checkSeats(i ids.Instance, s *instanceState) {
	now := time.Now()
	if !now.Before(s.leaseValidUntil) {
		return
	}
	for other, o := range c.seats.instances {
		if other == i || !now.Before(o.leaseValidUntil) {
			continue
		}
		for _, n := range s.seats {
			if slices.Contains(o.seats, n) {
				c.breach("seats: %s and %s may both act on seat %d, until %s and %s",
					i, other, n, s.leaseValidUntil.UTC().Format(time.TimeOnly), o.leaseValidUntil.UTC().Format(time.TimeOnly))
			}
		}
	}
}
