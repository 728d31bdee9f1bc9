package gossiper

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// id is the hash of an instance's name, by which messages name it.
type id uint64

func idOf(instance string) id {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance)) // It never fails.
	return id(h.Sum64())
}

// idOfState returns the id of a whole or partial state.
func idOfState(s *peerpb.HostState) id {
	if s.GetInstance() != "" {
		return idOf(s.GetInstance())
	}
	return id(s.GetId())
}

// entry is a host's state, the time at which the host made it, and the seqs at
// which its parts changed last. It is immutable.
type entry struct {
	state *peerpb.HostState
	at    time.Time
	// whole is the seq at which the names listed changed last: who knows an
	// older state must get it whole.
	whole uint64
	// base is the seq of the fields outside of the lists.
	base       uint64
	targets    []uint64
	workspaces []uint64
	services   []uint64
}

// newEntry returns the entry of a whole state.
func newEntry(s *peerpb.HostState, at time.Time) *entry {
	seq := s.GetSeq()
	return &entry{
		state: s, at: at, whole: seq, base: seq,
		targets:    slices.Repeat([]uint64{seq}, len(s.GetTargets())),
		workspaces: slices.Repeat([]uint64{seq}, len(s.GetWorkspaces())),
		services:   slices.Repeat([]uint64{seq}, len(s.GetServices())),
	}
}

// receivedEntry returns the entry of a whole state that a peer sent.
func receivedEntry(s *peerpb.HostState, at time.Time) *entry {
	state := copyBase(s)
	state.AgeMs = s.GetAgeMs()
	state.Targets = s.GetTargets()
	state.Workspaces = s.GetWorkspaces()
	state.Services = s.GetServices()
	en := newEntry(state, at)
	if len(s.GetTargetSeqs()) != len(en.targets) || len(s.GetWorkspaceSeqs()) != len(en.workspaces) ||
		len(s.GetServiceSeqs()) != len(en.services) {
		return en
	}
	en.whole, en.base = s.GetWholeSeq(), s.GetBaseSeq()
	en.targets, en.workspaces, en.services = s.GetTargetSeqs(), s.GetWorkspaceSeqs(), s.GetServiceSeqs()
	return en
}

func (en *entry) seq() uint64 { return en.state.GetSeq() }

func (en *entry) ageMs(now time.Time) uint64 {
	return uint64(max(0, now.Sub(en.at)) / time.Millisecond)
}

// last returns the seq at which anything changed last.
func (en *entry) last() uint64 {
	last := max(en.whole, en.base)
	for _, seqs := range [][]uint64{en.targets, en.workspaces, en.services} {
		for _, s := range seqs {
			last = max(last, s)
		}
	}
	return last
}

// since returns what changed after seq, or the whole state if that will not do.
func (en *entry) since(seq uint64, now time.Time) *peerpb.HostState {
	if seq < en.whole {
		seq = 0
	}
	s := &peerpb.HostState{}
	if en.base > seq {
		s = copyBase(en.state)
		s.BaseSeq = en.base
	} else {
		s.Id = uint64(idOf(en.state.GetInstance()))
	}
	s.Seq = en.seq()
	s.Since = seq
	s.AgeMs = en.ageMs(now)
	s.Targets, s.TargetSeqs = changed(en.state.GetTargets(), en.targets, seq)
	s.Workspaces, s.WorkspaceSeqs = changed(en.state.GetWorkspaces(), en.workspaces, seq)
	s.Services, s.ServiceSeqs = changed(en.state.GetServices(), en.services, seq)
	if seq == 0 {
		s.WholeSeq = en.whole
	}
	return s
}

// changed returns the items that changed after seq, with their seqs.
func changed[T any](items []T, seqs []uint64, seq uint64) ([]T, []uint64) {
	var all []T
	var at []uint64
	for i, item := range items {
		if seqs[i] > seq {
			all = append(all, item)
			at = append(at, seqs[i])
		}
	}
	return all, at
}

// apart lists the fields that are not part of a state's base: the lists, and
// what belongs to one message.
var apart = map[protoreflect.Name]bool{
	"targets": true, "workspaces": true, "services": true, "since": true, "id": true, "age_ms": true,
	"whole_seq": true, "base_seq": true, "target_seqs": true, "workspace_seqs": true, "service_seqs": true,
}

// copyBase copies the fields outside of the lists, without their depths.
func copyBase(s *peerpb.HostState) *peerpb.HostState {
	c := &peerpb.HostState{}
	to := c.ProtoReflect()
	s.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !apart[f.Name()] {
			to.Set(f, v)
		}
		return true
	})
	return c
}

// merged returns the entry with a newer state taken in, or nil if there is
// nothing to take. A partial state must follow on what is known.
func (en *entry) merged(s *peerpb.HostState, at time.Time) *entry {
	if en != nil && s.GetSeq() <= en.seq() {
		return nil
	}
	if s.GetSince() == 0 {
		if s.GetInstance() == "" {
			return nil
		}
		return receivedEntry(s, at)
	}
	if en == nil || en.seq() < s.GetSince() {
		return nil
	}
	next := &entry{at: at, whole: en.whole, base: en.base}
	if s.GetInstance() != "" {
		next.state = copyBase(s)
		next.base = s.GetBaseSeq()
	} else {
		next.state = copyBase(en.state)
	}
	next.state.Seq = s.GetSeq()
	next.state.AgeMs = s.GetAgeMs()
	var ok [3]bool
	next.state.Targets, next.targets, ok[0] = patch(en.state.GetTargets(), en.targets, s.GetTargets(), s.GetTargetSeqs())
	next.state.Workspaces, next.workspaces, ok[1] = patch(en.state.GetWorkspaces(), en.workspaces, s.GetWorkspaces(), s.GetWorkspaceSeqs())
	next.state.Services, next.services, ok[2] = patch(en.state.GetServices(), en.services, s.GetServices(), s.GetServiceSeqs())
	if ok != [3]bool{true, true, true} {
		return nil
	}
	return next
}

// patch puts newer items and their seqs in the places of those with the same
// names. It fails if a name is not there.
func patch[T named](items []T, seqs []uint64, newer []T, newerSeqs []uint64) ([]T, []uint64, bool) {
	if len(newer) == 0 {
		return items, seqs, true
	}
	if len(newer) != len(newerSeqs) {
		return nil, nil, false
	}
	items, seqs = slices.Clone(items), slices.Clone(seqs)
	for n, item := range newer {
		i, ok := slices.BinarySearchFunc(items, item, byName)
		if !ok {
			return nil, nil, false
		}
		items[i] = item
		seqs[i] = newerSeqs[n]
	}
	return items, seqs, true
}

// named is one item of a list in a state.
type named interface {
	*peerpb.TargetReport | *peerpb.WorkspaceReport | *peerpb.ServiceReport
}

func nameOf[T named](item T) string {
	switch r := any(item).(type) {
	case *peerpb.TargetReport:
		return r.GetTarget()
	case *peerpb.WorkspaceReport:
		return r.GetWorkspace()
	case *peerpb.ServiceReport:
		return r.GetService()
	}
	return ""
}

func byName[T named](a, b T) int { return cmp.Compare(nameOf(a), nameOf(b)) }

// sortItems makes two states with the same content equal.
func sortItems(s *peerpb.HostState) {
	slices.SortFunc(s.GetShares(), func(a, b *peerpb.RegionShare) int {
		return cmp.Or(
			cmp.Compare(a.GetService(), b.GetService()),
			cmp.Compare(a.GetFrom(), b.GetFrom()),
			cmp.Compare(a.GetTo(), b.GetTo()),
		)
	})
	slices.SortFunc(s.GetTargets(), byName)
	slices.SortFunc(s.GetWorkspaces(), byName)
	slices.SortFunc(s.GetServices(), byName)
}
