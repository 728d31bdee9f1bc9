// Package summarizer adds up what the entry hosts of an availability zone tell of
// themselves, so that one of them can speak for all.
package aggregator

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

const (
	// reportLife is how long a host's last report counts.
	reportLife = time.Second
	// listedTime is how long a silent host is still named, with its age.
	listedTime = 4 * time.Second
	// usageLife is how long the use of a workspace is told after its last change.
	usageLife = time.Second
	// forgetTime is how long a silent host is remembered: if it speaks again, its
	// counts go on from where they were.
	forgetTime = time.Minute
)

// Report is what one host tells of itself.
type Report struct {
	// Ready says that the host takes callers.
	Ready   bool
	Running []balancer.InFlight
	// Starts are those since its last report.
	Starts []balancer.Dispatch
	// Usages counts from the start of the host.
	Usages []throttler.Usage
}

// Host is a host of the zone as the speaker heard it.
type Host struct {
	Instance ids.Instance
	// Age is the time since its last report.
	Age   time.Duration
	Ready bool
}

// Summary is the sum of all hosts that reported.
type Summary struct {
	Hosts   []Host
	Running []balancer.InFlight
	// Usages counts from when the Summarizer first heard each host.
	Usages []throttler.Usage
}

// Summarizer holds the last report of each host. The zero value is empty. It is not
// safe for use by several goroutines.
type Summarizer struct {
	hosts  map[ids.Instance]*host
	usages map[throttler.WorkspaceHash]*usage
	starts balancer.DispatchLog
}

// host is what one host told.
type host struct {
	at      time.Time
	ready   bool
	running []balancer.InFlight
	usages  map[throttler.WorkspaceHash]throttler.Usage
}

// usage is what all hosts admitted of a workspace.
type usage struct {
	admitted  uint64
	changedAt time.Time
}

// Take takes a host's report.
func (s *Summarizer) Take(instance ids.Instance, r *Report, now time.Time) {
	if s.hosts == nil {
		s.hosts = make(map[ids.Instance]*host)
		s.usages = make(map[throttler.WorkspaceHash]*usage)
	}
	h := s.hosts[instance]
	known := h != nil
	if !known {
		h = &host{usages: make(map[throttler.WorkspaceHash]throttler.Usage)}
		s.hosts[instance] = h
	}
	h.at, h.ready, h.running = now, r.Ready, r.Running
	for _, u := range r.Usages {
		s.count(h, u, known, now)
	}
	s.starts.Add(r.Starts...)
	s.forget(now)
}

// count adds what a host admitted since its last report. What it admitted before its
// first one is not known to be recent.
func (s *Summarizer) count(h *host, u throttler.Usage, known bool, now time.Time) {
	last, told := h.usages[u.Workspace]
	h.usages[u.Workspace] = u
	total := s.usages[u.Workspace]
	if total == nil {
		total = &usage{changedAt: now}
		s.usages[u.Workspace] = total
	}
	if !known && !told {
		return
	}
	if u.Admitted > last.Admitted {
		total.admitted += u.Admitted - last.Admitted
		total.changedAt = now
	}
}

func (s *Summarizer) forget(now time.Time) {
	for instance, h := range s.hosts {
		if now.Sub(h.at) > forgetTime {
			delete(s.hosts, instance)
		}
	}
}

// Starts returns the starts from a number on, at most limit of them, and the number
// to go on from.
func (s *Summarizer) Starts(from uint64, limit int) ([]balancer.Dispatch, uint64) {
	return s.starts.Since(from, limit)
}

// Sum returns the sum of what the hosts told lately, in a fixed order.
func (s *Summarizer) Sum(now time.Time) Summary {
	var sum Summary
	running := make(map[uint32]int)
	demand := make(map[throttler.WorkspaceHash]float64)
	for instance, h := range s.hosts {
		age := now.Sub(h.at)
		if age > listedTime {
			continue
		}
		sum.Hosts = append(sum.Hosts, Host{instance, age, h.ready})
		if age > reportLife {
			continue
		}
		for _, r := range h.running {
			running[r.Target] += r.Count
		}
		for name, u := range h.usages {
			demand[name] += u.Demand
		}
	}
	slices.SortFunc(sum.Hosts, func(a, b Host) int { return cmp.Compare(a.Instance, b.Instance) })
	for target, n := range running {
		sum.Running = append(sum.Running, balancer.InFlight{Target: target, Count: n})
	}
	slices.SortFunc(sum.Running, func(a, b balancer.InFlight) int { return cmp.Compare(a.Target, b.Target) })
	sum.Usages = s.recent(demand, now)
	return sum
}

// recent returns the use of the workspaces that were used lately.
func (s *Summarizer) recent(demand map[throttler.WorkspaceHash]float64, now time.Time) []throttler.Usage {
	var all []throttler.Usage
	for name, u := range s.usages {
		if now.Sub(u.changedAt) > usageLife && demand[name] < 1 {
			continue
		}
		all = append(all, throttler.Usage{Workspace: name, Admitted: u.admitted, Demand: demand[name]})
	}
	slices.SortFunc(all, func(a, b throttler.Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}
