package checker

import (
	"math/bits"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// oneRequest is one request in nano-requests (10⁻⁹ of a request). Rates are in
	// nano-requests per second.
	oneRequest int64 = 1e9
	// roundingTolerance is the rounding error allowed in the check of admissions,
	// in nano-requests.
	roundingTolerance int64 = 1000
	// revisionOverlap is how long a replaced limit may still be used: the TTL of a
	// serving lease.
	revisionOverlap = 6 * time.Second
)

// RateShare is a part of a workspace's rate and burst that one host may use.
type RateShare struct {
	// Rate is in nano-requests per second, Burst in nano-requests.
	Rate, Burst int64
	// Until is when the share ends unless it is reported again with a later time.
	Until time.Time
}

// rateChecks holds the reported limits and shares.
type rateChecks struct {
	workspaces map[ids.Workspace]*workspaceRate
	// endedHosts holds the hosts reported by RateHostEnded.
	endedHosts map[string]bool
}

// workspaceRate holds the limits and shares of one workspace.
type workspaceRate struct {
	limits []rateLimit
	hosts  map[string]hostShare

	// tokens is the level of one ideal bucket that all admissions are taken from,
	// in nano-requests. remainder is the part of the refill below one nano-request.
	tokens    int64
	remainder uint64
	updatedAt time.Time
}

// rateLimit is the limit in one revision. After its replacement it applies until
// every host must have stopped using it.
type rateLimit struct {
	revision    ids.Revision
	rate, burst int64
	until       time.Time
}

// hostShare holds the shares and tokens of one host.
type hostShare struct {
	tokens int64
	parts  []RateShare
}

func (c *Checker) rate(ws ids.Workspace) *workspaceRate {
	if c.rates.workspaces == nil {
		c.rates.workspaces = make(map[ids.Workspace]*workspaceRate)
	}
	s := c.rates.workspaces[ws]
	if s == nil {
		s = &workspaceRate{hosts: make(map[string]hostShare)}
		c.rates.workspaces[ws] = s
	}
	return s
}

// RateLimitApplied reports that a host applied a revision with this rate and burst
// of the workspace, in nano-requests per second and nano-requests. Reports after
// the first one for a revision are ignored.
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
		s.tokens, s.updatedAt = burst, now
	} else {
		s.limits[n-1].until = now.Add(revisionOverlap)
	}
	s.limits = append(s.limits, rateLimit{revision: rev, rate: rate, burst: burst})
	c.note("limit of %s at revision %d: rate %d burst %d", ws, rev, rate, burst)
}

// bounds returns the largest rate and burst of the limits that apply at now.
func (s *workspaceRate) bounds(now time.Time) (rate, burst int64) {
	for len(s.limits) > 1 && s.limits[0].until.Before(now) {
		s.limits = s.limits[1:]
	}
	for _, l := range s.limits {
		rate = max(rate, l.rate)
		burst = max(burst, l.burst)
	}
	return rate, burst
}

// advance refills the ideal bucket up to now, at any time at the largest rate of
// the limits that applied then.
func (s *workspaceRate) advance(now time.Time) {
	for s.updatedAt.Before(now) {
		rate, burst := s.bounds(s.updatedAt)
		next := now
		for _, l := range s.limits {
			if l.until.After(s.updatedAt) && l.until.Before(next) {
				next = l.until
			}
		}
		if !next.After(s.updatedAt) {
			next = now
		}
		s.refill(next.Sub(s.updatedAt), rate, burst)
		s.updatedAt = next
	}
	_, burst := s.bounds(now)
	s.tokens = min(s.tokens, burst)
}

func (s *workspaceRate) refill(d time.Duration, rate, burst int64) {
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, over := bits.Add64(lo, s.remainder, 0)
	hi += over
	if hi >= uint64(time.Second) {
		s.tokens, s.remainder = burst, 0
		return
	}
	var q uint64
	q, s.remainder = bits.Div64(hi, lo, uint64(time.Second))
	if q >= uint64(max(0, burst-s.tokens)) {
		s.tokens, s.remainder = burst, 0
		return
	}
	s.tokens += int64(q)
}

// RequestAdmitted reports that a host admitted one request of the workspace. All
// admissions together must fit one bucket with the workspace's rate R and burst B,
// that is, at most B + R·t in every window of length t.
func (c *Checker) RequestAdmitted(ws ids.Workspace, host string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.rate(ws)
	s.advance(time.Now())
	s.tokens -= oneRequest
	if s.tokens < -roundingTolerance {
		c.breach("workspace %s: host %s admitted over rate and burst, by %d nano-requests", ws, host, -s.tokens)
		s.tokens = 0
	}
}

// RateShareChanged reports all shares of a workspace's limit that a host may use
// from now on, and its tokens in nano-requests. The unexpired shares of all hosts
// must not add up to more than the limit, and a host's tokens not exceed its burst.
func (c *Checker) RateShareChanged(ws ids.Workspace, host string, tokens int64, parts []RateShare) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rates.endedHosts[host] {
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

// RateHostEnded reports that a host's process has ended. Its own shares no longer
// count; those that it lent still do, at their borrowers.
func (c *Checker) RateHostEnded(host string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rates.endedHosts == nil {
		c.rates.endedHosts = make(map[string]bool)
	}
	c.rates.endedHosts[host] = true
	for _, s := range c.rates.workspaces {
		delete(s.hosts, host)
	}
}

// sum returns the total of all hosts' shares that are valid at now.
func (s *workspaceRate) sum(now time.Time) RateShare {
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
