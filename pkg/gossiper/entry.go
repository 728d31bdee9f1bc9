package gossiper

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// hostID is the FNV-1a hash of an instance's name, which identifies it in messages.
type hostID uint64

func idOf(instance string) hostID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance)) // Writing to a hash never fails.
	return hostID(h.Sum64())
}

// idOfState returns the ID of the host of a full or partial state.
func idOfState(s *peerpb.HostState) hostID {
	if s.GetInstance() != "" {
		return idOf(s.GetInstance())
	}
	return hostID(s.GetId())
}

// entry holds a host's state, the time at which the host created it, and the seqs
// at which its parts last changed. A seq is the sequence number of a host's state.
// An entry is immutable.
type entry struct {
	state     *peerpb.HostState
	createdAt time.Time
	// namesSeq is the seq at which the set of listed names last changed: a peer
	// that knows an older state must get the full one.
	namesSeq uint64
	// baseSeq is the seq at which a field outside of the lists last changed.
	baseSeq       uint64
	targetSeqs    []uint64
	workspaceSeqs []uint64
	serviceSeqs   []uint64
}

// newEntry returns the entry of a full state of which every part is new.
func newEntry(s *peerpb.HostState, at time.Time) *entry {
	seq := s.GetSeq()
	return &entry{
		state: s, createdAt: at, namesSeq: seq, baseSeq: seq,
		targetSeqs:    slices.Repeat([]uint64{seq}, len(s.GetTargets())),
		workspaceSeqs: slices.Repeat([]uint64{seq}, len(s.GetWorkspaces())),
		serviceSeqs:   slices.Repeat([]uint64{seq}, len(s.GetServices())),
	}
}

// receivedEntry returns the entry of a full state that a peer sent.
func receivedEntry(s *peerpb.HostState, at time.Time) *entry {
	state := copyBase(s)
	state.AgeMs = s.GetAgeMs()
	state.Targets = s.GetTargets()
	state.Workspaces = s.GetWorkspaces()
	state.Services = s.GetServices()
	en := newEntry(state, at)
	if len(s.GetTargetSeqs()) != len(en.targetSeqs) || len(s.GetWorkspaceSeqs()) != len(en.workspaceSeqs) ||
		len(s.GetServiceSeqs()) != len(en.serviceSeqs) {
		return en
	}
	en.namesSeq, en.baseSeq = s.GetWholeSeq(), s.GetBaseSeq()
	en.targetSeqs, en.workspaceSeqs, en.serviceSeqs = s.GetTargetSeqs(), s.GetWorkspaceSeqs(), s.GetServiceSeqs()
	return en
}

func (en *entry) seq() uint64 { return en.state.GetSeq() }

func (en *entry) ageMs(now time.Time) uint64 {
	return uint64(max(0, now.Sub(en.createdAt)) / time.Millisecond)
}

// lastChange returns the seq at which any part last changed.
func (en *entry) lastChange() uint64 {
	last := max(en.namesSeq, en.baseSeq)
	for _, seqs := range [][]uint64{en.targetSeqs, en.workspaceSeqs, en.serviceSeqs} {
		for _, s := range seqs {
			last = max(last, s)
		}
	}
	return last
}

// changesSince returns the parts that changed after seq, or the full state if the
// names have changed since.
func (en *entry) changesSince(seq uint64, now time.Time) *peerpb.HostState {
	if seq < en.namesSeq {
		seq = 0
	}
	s := &peerpb.HostState{}
	if en.baseSeq > seq {
		s = copyBase(en.state)
		s.BaseSeq = en.baseSeq
	} else {
		s.Id = uint64(idOf(en.state.GetInstance()))
	}
	s.Seq = en.seq()
	s.Since = seq
	s.AgeMs = en.ageMs(now)
	s.Targets, s.TargetSeqs = changedItems(en.state.GetTargets(), en.targetSeqs, seq)
	s.Workspaces, s.WorkspaceSeqs = changedItems(en.state.GetWorkspaces(), en.workspaceSeqs, seq)
	s.Services, s.ServiceSeqs = changedItems(en.state.GetServices(), en.serviceSeqs, seq)
	if seq == 0 {
		s.WholeSeq = en.namesSeq
	}
	return s
}

// changedItems returns the items that changed after seq, with their seqs.
func changedItems[T any](items []T, seqs []uint64, seq uint64) ([]T, []uint64) {
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

// nonBaseFields lists the fields that are not part of a state's base: the lists,
// and fields that concern a single message.
var nonBaseFields = map[protoreflect.Name]bool{
	"targets": true, "workspaces": true, "services": true, "since": true, "id": true, "age_ms": true,
	"whole_seq": true, "base_seq": true, "target_seqs": true, "workspace_seqs": true, "service_seqs": true,
}

// copyBase returns a shallow copy of the fields outside of the lists.
func copyBase(s *peerpb.HostState) *peerpb.HostState {
	c := &peerpb.HostState{}
	to := c.ProtoReflect()
	s.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !nonBaseFields[f.Name()] {
			to.Set(f, v)
		}
		return true
	})
	return c
}

// merged returns the entry after a received state was merged, or nil if that state
// is not newer or does not fit: a partial state must be based on a seq that is not
// newer than the known one.
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
	next := &entry{createdAt: at, namesSeq: en.namesSeq, baseSeq: en.baseSeq}
	if s.GetInstance() != "" {
		next.state = copyBase(s)
		next.baseSeq = s.GetBaseSeq()
	} else {
		next.state = copyBase(en.state)
	}
	next.state.Seq = s.GetSeq()
	next.state.AgeMs = s.GetAgeMs()
	var ok [3]bool
	next.state.Targets, next.targetSeqs, ok[0] = patch(en.state.GetTargets(), en.targetSeqs, s.GetTargets(), s.GetTargetSeqs())
	next.state.Workspaces, next.workspaceSeqs, ok[1] = patch(en.state.GetWorkspaces(), en.workspaceSeqs, s.GetWorkspaces(), s.GetWorkspaceSeqs())
	next.state.Services, next.serviceSeqs, ok[2] = patch(en.state.GetServices(), en.serviceSeqs, s.GetServices(), s.GetServiceSeqs())
	if ok != [3]bool{true, true, true} {
		return nil
	}
	return next
}

// patch replaces items and their seqs by newer ones with the same names. It reports
// false if a name is missing.
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

// named is an item of one of the lists of a state.
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

// sortItems sorts the lists of a state, so that states with the same content are
// equal.
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
