// Package pacer keeps what all entry hosts together send to one target to a rate, without
// a message for each request. The rate is divided into numbered permits that are due one
// after the other. All hosts number them alike, and each permit belongs to the host whose
// Share holds its position, so the permits of a host are spread evenly over time. A permit
// that its host does not use lapses.
//
// Hosts need not agree exactly: what all of them send is the sum of their shares, wherever
// these lie. It is also not exceeded while some hosts are cut off, as the permits of those
// that are not heard stay theirs.
package pacer

import (
	"math"
	"math/bits"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// maxPermitRate is the highest number of permits per second. At higher rates each
	// permit is for several requests.
	maxPermitRate = 1000
	// maxLookahead is the number of permits that NextAfter looks at.
	maxLookahead = 100_000
	// roundingError, in permits, is more than what is lost by computing due times.
	roundingError = 1e-5
	// groupStep and memberStep spread the positions of consecutive permits evenly over both
	// dimensions: they are the fractional parts of the cube roots of four and of two, times
	// 2^64.
	groupStep  = 0x965FEA53D6E3C82B
	memberStep = 0x428A2F98D728AE23
)

// Tolerance is how far a target may get ahead of its rate in a short time. A permit lapses
// after Time and the time in which Requests requests are due.
type Tolerance struct {
	Time     time.Duration
	Requests float64
}

// Pacer holds this host's permits for one target. The zero value has no limit. It is not
// safe for concurrent use.
type Pacer struct {
	// Key identifies the target, so that a host's permits for different targets are not
	// due at the same time.
	Key       uint32
	Tolerance Tolerance

	rate   ids.Rate
	origin time.Time
	// next is the number of the first permit that was not looked at.
	next int64
	// permits are this host's unused permits, the oldest first.
	permits []permit
}

// permit allows a number of requests.
type permit struct {
	due  time.Time
	left int
}

// Limited reports whether the target has a limit.
func (p *Pacer) Limited() bool { return p.rate > 0 }

// Rate returns the rate of all hosts together, 0 for no limit.
func (p *Pacer) Rate() ids.Rate { return p.rate }

// SetLimit sets the rate of all hosts together, 0 for no limit, and the time of permit 0.
// It reports whether they have changed. When the rate falls, as large a part of the unused
// permits is dropped.
func (p *Pacer) SetLimit(rate ids.Rate, origin time.Time, s Share) bool {
	now := time.Now()
	switch {
	case rate == p.rate && (rate == 0 || origin.Equal(p.origin)):
		return false
	case rate == 0 || p.rate == 0:
		p.permits = nil
	default:
		p.advance(now, s)
		if rate < p.rate {
			keep := len(p.permits) * int(rate) / int(p.rate)
			p.permits = p.permits[len(p.permits)-keep:]
		}
	}
	p.rate, p.origin = rate, origin
	if rate > 0 {
		p.next = p.numberAfter(now)
	}
	return true
}

// Available reports whether this host may send a request now. s is this host's share.
func (p *Pacer) Available(now time.Time, s Share) bool {
	if !p.Limited() {
		return true
	}
	p.advance(now, s)
	return len(p.permits) > 0
}

// Take uses a permit for one request. It is to be called after Available returned true.
func (p *Pacer) Take() {
	if len(p.permits) == 0 {
		return
	}
	p.permits[0].left--
	if p.permits[0].left == 0 {
		p.permits = p.permits[1:]
	}
}

// NextAfter returns when this host's first permit after t is due that it keeps also if the
// weights of the groups change a little. It returns false if there is none for a long time.
func (p *Pacer) NextAfter(t time.Time, s Share) (time.Time, bool) {
	if !p.Limited() || s.Fraction() == 0 {
		return time.Time{}, false
	}
	s = s.inner()
	first := p.numberAfter(t)
	for n := first; n < first+maxLookahead; n++ {
		if s.holds(p.position(n)) {
			return p.due(n), true
		}
	}
	return time.Time{}, false
}

// advance adds the permits that are due and drops those that lapsed.
func (p *Pacer) advance(now time.Time, s Share) {
	lapsed := now.Add(-p.validity())
	drop := 0
	for drop < len(p.permits) && !p.permits[drop].due.After(lapsed) {
		drop++
	}
	p.permits = p.permits[drop:]
	end := p.numberAfter(now)
	for n := max(p.next, p.numberAfter(lapsed)); n < end; n++ {
		if s.holds(p.position(n)) {
			p.permits = append(p.permits, permit{p.due(n), p.permitSize()})
		}
	}
	p.next = max(p.next, end)
}

// validity returns how long a permit can be used.
func (p *Pacer) validity() time.Duration {
	return p.Tolerance.Time + seconds(p.Tolerance.Requests/p.rate.PerSecond())
}

// permitSize returns the number of requests of one permit.
func (p *Pacer) permitSize() int {
	return max(int(math.Ceil(p.rate.PerSecond()/maxPermitRate)), 1)
}

// interval returns the time between two permits of all hosts, in seconds.
func (p *Pacer) interval() float64 { return float64(p.permitSize()) / p.rate.PerSecond() }

func (p *Pacer) due(n int64) time.Time { return p.origin.Add(seconds(float64(n) * p.interval())) }

// numberAfter returns the number of the first permit that is due after t.
func (p *Pacer) numberAfter(t time.Time) int64 {
	return int64(math.Floor(t.Sub(p.origin).Seconds()/p.interval()+roundingError)) + 1
}

// position returns the position of a permit.
func (p *Pacer) position(n int64) position {
	return position{
		group:  uint64(n)*groupStep + uint64(bits.Reverse32(p.Key))<<32,
		member: uint64(n)*memberStep + uint64(p.Key)<<32,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
