package gossiper

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// The differences that a state does not tell to others.
const (
	// closeShare is a part of the larger number.
	closeShare = 0.05
	// closeWeight is an absolute difference of a region's share.
	closeWeight = 0.01
	// closeAge is about the time between two probes of a target.
	closeAge = time.Second
)

// renewed returns the entry of this host's own newer state. Items that differ
// by little keep what was told of them before.
func (en *entry) renewed(s *peerpb.HostState, at time.Time) *entry {
	if en == nil {
		return newEntry(s, at)
	}
	next := &entry{state: s, at: at, whole: en.whole, base: en.base}
	if slices.EqualFunc(en.state.GetShares(), s.GetShares(), closeShares) {
		s.Shares = en.state.GetShares()
	}
	if !sameBase(en.state, s) {
		next.base = s.GetSeq()
	}
	var ok [3]bool
	next.targets, ok[0] = settle(en.state.GetTargets(), en.targets, s.GetTargets(), s.GetSeq(), closeTargets)
	next.workspaces, ok[1] = settle(en.state.GetWorkspaces(), en.workspaces, s.GetWorkspaces(), s.GetSeq(), closeWorkspaces)
	next.services, ok[2] = settle(en.state.GetServices(), en.services, s.GetServices(), s.GetSeq(), closeServices)
	if ok != [3]bool{true, true, true} {
		return newEntry(s, at)
	}
	return next
}

// settle replaces the items that are close to the old ones by those, and
// returns the seqs of all. It fails if the names differ.
func settle[T named](old []T, seqs []uint64, items []T, seq uint64, near func(a, b T) bool) ([]uint64, bool) {
	if !slices.EqualFunc(old, items, func(a, b T) bool { return nameOf(a) == nameOf(b) }) {
		return nil, false
	}
	next := slices.Clone(seqs)
	for i := range items {
		if near(old[i], items[i]) {
			items[i] = old[i]
		} else {
			next[i] = seq
		}
	}
	return next, true
}

func sameBase(a, b *peerpb.HostState) bool {
	x, y := copyBase(a), copyBase(b)
	x.Seq, y.Seq = 0, 0
	return proto.Equal(x, y)
}

// closeShares reports whether two shares differ by little. One that has reached
// its end is always told.
func closeShares(a, b *peerpb.RegionShare) bool {
	x, y := a.GetShare(), b.GetShare()
	ended := (y == 0 || y == 1) && x != y
	return a.GetService() == b.GetService() && a.GetFrom() == b.GetFrom() && a.GetTo() == b.GetTo() &&
		!ended && math.Abs(x-y) <= closeWeight
}

func closeTargets(a, b *peerpb.TargetReport) bool {
	age := time.Duration(math.Abs(float64(a.GetAgeMs())-float64(b.GetAgeMs()))) * time.Millisecond
	return a.GetHealthy() == b.GetHealthy() && a.GetLeaving() == b.GetLeaving() &&
		a.GetStartId() == b.GetStartId() && a.GetLoad() == b.GetLoad() && age <= closeAge
}

func closeWorkspaces(a, b *peerpb.WorkspaceReport) bool {
	return closeNumbers(a.GetTokens(), b.GetTokens()) &&
		closeNumbers(a.GetRate(), b.GetRate()) && closeNumbers(a.GetDemand(), b.GetDemand())
}

func closeServices(a, b *peerpb.ServiceReport) bool {
	return a.GetSlots() == b.GetSlots() && closeNumbers(float64(a.GetInFlight()), float64(b.GetInFlight())) &&
		closeNumbers(float64(a.GetWaiting()), float64(b.GetWaiting())) &&
		closeNumbers(a.GetForeignRate(), b.GetForeignRate())
}

func closeNumbers(a, b float64) bool {
	return math.Abs(a-b) <= closeShare*max(math.Abs(a), math.Abs(b))
}
