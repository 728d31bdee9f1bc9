package gossiper

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Differences up to these are not sent to other hosts.
const (
	// relativeTolerance is relative to the larger of two numbers.
	relativeTolerance = 0.05
	// shareTolerance is the absolute difference of two region shares.
	shareTolerance = 0.01
	// ageTolerance is about the time between two probes of a target.
	ageTolerance = time.Second
)

// updated returns the entry of a newer state of this host. Items that differ by
// little from those published before keep the published values and seqs.
func (en *entry) updated(s *peerpb.HostState, at time.Time) *entry {
	if en == nil {
		return newEntry(s, at)
	}
	next := &entry{state: s, createdAt: at, namesSeq: en.namesSeq, baseSeq: en.baseSeq}
	if slices.EqualFunc(en.state.GetShares(), s.GetShares(), similarShares) {
		s.Shares = en.state.GetShares()
	}
	if !sameBase(en.state, s) {
		next.baseSeq = s.GetSeq()
	}
	var ok [3]bool
	next.targetSeqs, ok[0] = keepSimilar(en.state.GetTargets(), en.targetSeqs, s.GetTargets(), s.GetSeq(), similarTargets)
	next.workspaceSeqs, ok[1] = keepSimilar(en.state.GetWorkspaces(), en.workspaceSeqs, s.GetWorkspaces(), s.GetSeq(), similarWorkspaces)
	next.serviceSeqs, ok[2] = keepSimilar(en.state.GetServices(), en.serviceSeqs, s.GetServices(), s.GetSeq(), similarServices)
	if ok != [3]bool{true, true, true} {
		return newEntry(s, at)
	}
	return next
}

// keepSimilar replaces each item that is similar to the old one by the old one, and
// returns the seqs of all items. It reports false if the names differ.
func keepSimilar[T named](old []T, seqs []uint64, items []T, seq uint64, similar func(a, b T) bool) ([]uint64, bool) {
	if !slices.EqualFunc(old, items, func(a, b T) bool { return nameOf(a) == nameOf(b) }) {
		return nil, false
	}
	next := slices.Clone(seqs)
	for i := range items {
		if similar(old[i], items[i]) {
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

// similarShares reports whether two region shares differ by little. A change to 0
// or 1 is never little.
func similarShares(a, b *peerpb.RegionShare) bool {
	x, y := a.GetShare(), b.GetShare()
	reachedLimit := (y == 0 || y == 1) && x != y
	return a.GetService() == b.GetService() && a.GetFrom() == b.GetFrom() && a.GetTo() == b.GetTo() &&
		!reachedLimit && math.Abs(x-y) <= shareTolerance
}

func similarTargets(a, b *peerpb.TargetReport) bool {
	age := time.Duration(math.Abs(float64(a.GetAgeMs())-float64(b.GetAgeMs()))) * time.Millisecond
	return a.GetHealthy() == b.GetHealthy() && a.GetLeaving() == b.GetLeaving() &&
		a.GetStartId() == b.GetStartId() && a.GetLoad() == b.GetLoad() && age <= ageTolerance
}

func similarWorkspaces(a, b *peerpb.WorkspaceReport) bool {
	return similarNumbers(a.GetTokens(), b.GetTokens()) &&
		similarNumbers(a.GetRate(), b.GetRate()) && similarNumbers(a.GetDemand(), b.GetDemand())
}

func similarServices(a, b *peerpb.ServiceReport) bool {
	return a.GetSlots() == b.GetSlots() && similarNumbers(float64(a.GetInFlight()), float64(b.GetInFlight())) &&
		similarNumbers(float64(a.GetWaiting()), float64(b.GetWaiting())) &&
		similarNumbers(a.GetForeignRate(), b.GetForeignRate())
}

func similarNumbers(a, b float64) bool {
	return math.Abs(a-b) <= relativeTolerance*max(math.Abs(a), math.Abs(b))
}
