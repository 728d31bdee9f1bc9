package fencer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

const (
	// modelDepth is the number of steps in each sequence.
	modelDepth = 5
	// modelStep is the duration of one wait; two of them outlast a promise.
	modelStep   = 3300 * time.Millisecond
	candidateID = ids.Instance("silent")
	seatCount   = 3
)

// model is a candidate on seat 0 that is cut off from the store, and voters on the
// other seats that can always renew through the store.
type model struct {
	table     *seater.Table
	candidate *fencer.Fencer
	voters    map[ids.Instance]*fencer.Fencer
	// storeLeaseEnd is when the candidate's store lease expires.
	storeLeaseEnd time.Time
	started       int
	reclaimed     bool
}

func newModel() *model {
	m := &model{candidate: &fencer.Fencer{}, voters: make(map[ids.Instance]*fencer.Fencer)}
	m.table, _ = (&seater.Table{}).Resize([]ids.Region{"x", "x", "x"})
	m.table, _ = m.table.Claim(seater.Holder{Instance: candidateID, Region: "x", PeersAddress: "0", Lease: "l"}, 0)
	for n := 1; n < seatCount; n++ {
		m.table, _ = m.table.Claim(m.voter(n), ids.Seat(n))
	}
	time.Sleep(fencer.TTL + 2*fencer.ClockMargin) // Promises of earlier holders of the voters' seats have expired.
	m.candidate.RecordRenewal(time.Now())
	m.storeLeaseEnd = time.Now().Add(fencer.TTL + fencer.ClockMargin)
	m.renewVoters()
	return m
}

// voter starts a process for a seat and describes it.
func (m *model) voter(n int) seater.Holder {
	m.started++
	id := ids.Instance(fmt.Sprintf("voter-%d", m.started))
	f := &fencer.Fencer{}
	f.RecordRenewal(time.Now())
	f.SetSeats([]ids.Seat{ids.Seat(n)})
	m.voters[id] = f
	return seater.Holder{Instance: id, Region: "x", PeersAddress: fmt.Sprint(n), Lease: string(id)}
}

func (m *model) renewVoters() {
	for _, f := range m.voters {
		f.RecordRenewal(time.Now())
	}
}

// wait lets modelStep pass.
func (m *model) wait() {
	time.Sleep(modelStep)
	m.renewVoters()
}

// renewCandidate asks the voters on the given seats for promises, and renews the
// candidate's lease if a majority promised.
func (m *model) renewCandidate(on ...int) {
	sentAt := time.Now()
	var promised []ids.Instance
	if m.candidate.Valid() {
		promised = append(promised, candidateID)
	}
	for _, n := range on {
		id := m.table.Seats[n].Holder
		if ok, _ := m.voters[id].Promise(candidateID, "l"); ok && !m.reclaimed {
			promised = append(promised, id)
		}
	}
	if m.table.HasMajority(promised) {
		m.candidate.RecordRenewal(sentAt)
	}
}

// restart replaces the voter on a seat by a new process at the same address.
func (m *model) restart(n int) {
	delete(m.voters, m.table.Seats[n].Holder)
	m.table, _ = m.table.TakeOver(m.voter(n))
}

// reclaim frees the candidate's seat if its store lease has expired and a majority
// of the seats fenced it.
func (m *model) reclaim() {
	if time.Now().Before(m.storeLeaseEnd) {
		return
	}
	proof := seater.ReclaimProof{Holder: candidateID, Lease: "l"}
	for id, f := range m.voters {
		if ok, _ := f.Fence(candidateID, "l"); ok {
			proof.FencedBy = append(proof.FencedBy, id)
		}
	}
	if next, err := m.table.Reclaim(proof); err == nil {
		m.table = next
		m.reclaimed = true
	}
}

// TestEveryShortRunKeepsOneHolder runs every sequence of modelDepth steps and
// checks that no seat is reclaimed from a candidate with a valid lease.
func TestEveryShortRunKeepsOneHolder(t *testing.T) {
	steps := []func(*model){
		(*model).wait,
		func(m *model) { m.renewCandidate(1) },
		func(m *model) { m.renewCandidate(2) },
		func(m *model) { m.renewCandidate(1, 2) },
		func(m *model) { m.restart(1) },
		func(m *model) { m.restart(2) },
		(*model).reclaim,
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs, reclaims := 1, 0
		for range modelDepth {
			runs *= len(steps)
		}
		for run := range runs {
			m := newModel()
			for d, rest := 0, run; d < modelDepth; d, rest = d+1, rest/len(steps) {
				steps[rest%len(steps)](m)
				if m.reclaimed && m.candidate.Valid() {
					t.Fatalf("run %d: the seat was reclaimed while its holder's lease is valid", run)
				}
			}
			if m.reclaimed {
				reclaims++
			}
		}
		t.Logf("%d runs, %d with a reclaim", runs, reclaims)
		is.True(reclaims > 0)
	})
}
