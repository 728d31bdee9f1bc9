package checker

import (
	"math/bits"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// rateRequest is one request in the unit of rates and bursts here.
	rateRequest int64 = 1e9
	// rateSlack is the rounding that an exact check allows for, in
	// thousand-millionths of a request.
	rateSlack int64 = 1000
	// revisionSpread is how long a replaced limit may still be used: the term
	// of a serving lease.
	revisionSpread = 6 * time.Second
)

// Share is a part of a workspace's rate and burst that one host may use.
type RateShare struct {
	// Rate and Burst are in thousand-millionths of a request (a second).
	Rate, Burst int64
	// Until is when the host stops using it unless it says so again.
	Until time.Time
}

// ratesState is what the Checker knows of rates.
type ratesState struct {
	workspaces map[ids.Workspace]*rateState
	// gone holds the hosts whose processes have ended.
	gone map[string]bool
}

// rateState is what the Checker knows of one workspace.
type rateState struct {
	limits []rateLimit
	hosts  map[string]hostShare

	// level is that of one ideal bucket which saw all admissions.
	level int64
	carry uint64
	at    time.Time
}

// rateLimit is a limit in one revision. It counts until replaced hosts must
// have stopped using it.
type rateLimit struct {
	revision    ids.Revision
	rate, burst int64
	until       time.Time
}

// hostShare is what one host may use, and the tokens that it holds.
type hostShare struct {
	tokens int64
	parts  []RateShare
}

func (c *Checker) rate(ws ids.Workspace) *rateState {
	if c.rates.workspaces == nil {
		c.rates.workspaces = make(map[ids.Workspace]*rateState)
	}
	s := c.rates.workspaces[ws]
	if s == nil {
		s = &rateState{hosts: make(map[string]hostShare)}
		c.rates.workspaces[ws] = s
	}
	return s
}

// RatesLimit tells that a host puts a revision in force in which the workspace
// has this rate and burst, in thousand-millionths of a request (a second). The
// first host to do so counts.
func (c *Checker) RateLimitApplied(ws ids.Workspace, rev ids.Revision, rate, burst int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.rate(ws)
	s.advance(now)
	n := len(s.limits)
	if n > 0 && s.limits[n-1].revision >= rev {
		return
	}
	if n == 0 {
		s.level, s.at = burst, now
	} else {
		s.limits[n-1].until = now.Add(revisionSpread)
	}
	s.limits = append(s.limits, rateLimit{revision: rev, rate: rate, burst: burst})
	c.note("limit of %s at revision %d: rate %d burst %d", ws, rev, rate, burst)
}

// bounds returns the largest rate and burst that count at a time.
func (s *rateState) bounds(now time.Time) (rate, burst int64) {
	for len(s.limits) > 1 && s.limits[0].until.Before(now) {
		s.limits = s.limits[1:]
	}
	for _, l := range s.limits {
		rate = max(rate, l.rate)
		burst = max(burst, l.burst)
	}
	return rate, burst
}

// advance refills the ideal bucket, at the largest rate of any limit that
// counted in between.
func (s *rateState) advance(now time.Time) {
	for s.at.Before(now) {
		rate, burst := s.bounds(s.at)
		next := now
		for _, l := range s.limits {
			if l.until.After(s.at) && l.until.Before(next) {
				next = l.until
			}
		}
		if !next.After(s.at) {
			next = now
		}
		s.refill(next.Sub(s.at), rate, burst)
		s.at = next
	}
	_, burst := s.bounds(now)
	s.level = min(s.level, burst)
}

func (s *rateState) refill(d time.Duration, rate, burst int64) {
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, over := bits.Add64(lo, s.carry, 0)
	hi += over
	if hi >= uint64(time.Second) {
		s.level, s.carry = burst, 0
		return
	}
	var q uint64
	q, s.carry = bits.Div64(hi, lo, uint64(time.Second))
	if q >= uint64(max(0, burst-s.level)) {
		s.level, s.carry = burst, 0
		return
	}
	s.level += int64(q)
}

// RatesAdmit tells that a host admitted one request of the workspace. All
// admissions together must fit one bucket with the workspace's rate and burst,
// which is the same as B + R·t for every window of length t.
func (c *Checker) RequestAdmitted(ws ids.Workspace, host string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.rate(ws)
	s.advance(time.Now())
	s.level -= rateRequest
	if s.level < -rateSlack {
		c.breach("workspace %s: host %s admitted over rate and burst, by %d thousand-millionths of a request", ws, host, -s.level)
		s.level = 0
	}
}

// RatesShare tells what a host may use of a workspace's limit from now on, and
// the tokens that it holds.
func (c *Checker) RateShareChanged(ws ids.Workspace, host string, tokens int64, parts []RateShare) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rates.gone[host] {
		return
	}
	now := time.Now()
	s := c.rate(ws)
	s.hosts[host] = hostShare{tokens: tokens, parts: parts}
	rate, burst := s.bounds(now)
	sum := s.sum(now)
	if sum.Rate > rate {
		c.breach("workspace %s: the hosts' rates add up to %d, over %d, after a change at %s", ws, sum.Rate, rate, host)
	}
	if sum.Burst > burst {
		c.breach("workspace %s: the hosts' bursts add up to %d, over %d, after a change at %s", ws, sum.Burst, burst, host)
	}
	if own := total(parts); tokens > own.Burst || tokens < 0 {
		c.breach("workspace %s: host %s holds %d tokens with a burst of %d", ws, host, tokens, own.Burst)
	}
}

// RatesGone tells that a host's process has ended: it uses nothing any more,
// while what it has lent goes on.
func (c *Checker) RateHostEnded(host string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rates.gone == nil {
		c.rates.gone = make(map[string]bool)
	}
	c.rates.gone[host] = true
	for _, s := range c.rates.workspaces {
		delete(s.hosts, host)
	}
}

// sum adds up what all hosts may use at a time.
func (s *rateState) sum(now time.Time) RateShare {
	var sum RateShare
	for _, h := range s.hosts {
		for _, p := range h.parts {
			if p.Until.After(now) {
				sum.Rate += p.Rate
				sum.Burst += p.Burst
			}
		}
	}
	return sum
}

func total(parts []RateShare) RateShare {
	var sum RateShare
	for _, p := range parts {
		sum.Rate += p.Rate
		sum.Burst += p.Burst
	}
	return sum
}
