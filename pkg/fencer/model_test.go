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
	// modelDepth is the number of steps in each run of the model.
	modelDepth = 5
	// modelStep is the time that one step of waiting takes; two of them
	// outlast a promise.
	modelStep = 3300 * time.Millisecond
	silent    = ids.Instance("silent")
	seats     = 3
)

// model is one candidate that is cut off from the store, on seat 0, and voters
// on the other seats that can always renew through the store.
type model struct {
	table     *seater.Table
	candidate *fencer.Fencer
	voters    map[ids.Instance]*fencer.Fencer
	// lapses is when the candidate's store lease lapses.
	lapses    time.Time
	started   int
	reclaimed bool
}

func newModel() *model {
	m := &model{candidate: &fencer.Fencer{}, voters: make(map[ids.Instance]*fencer.Fencer)}
	m.table, _ = (&seater.Table{}).Resize([]ids.Region{"x", "x", "x"})
	m.table, _ = m.table.Claim(seater.Holder{Instance: silent, Region: "x", PeersAddress: "0", Lease: "l"}, 0)
	for n := 1; n < seats; n++ {
		m.table, _ = m.table.Claim(m.voter(n), ids.Seat(n))
	}
	time.Sleep(fencer.TTL + 2*fencer.ClockMargin) // The voters have been seated for long.
	m.candidate.RecordRenewal(time.Now())
	m.lapses = time.Now().Add(fencer.TTL + fencer.ClockMargin)
	m.renewVoters()
	return m
}

// voter starts a process for a seat.
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

// wait lets time pass.
func (m *model) wait() {
	time.Sleep(modelStep)
	m.renewVoters()
}

// ask renews the candidate's lease by the promises of the voters on some seats.
func (m *model) ask(on ...int) {
	sentAt := time.Now()
	var promised []ids.Instance
	if m.candidate.Valid() {
		promised = append(promised, silent)
	}
	for _, n := range on {
		id := m.table.Seats[n].Holder
		if ok, _ := m.voters[id].Promise(silent, "l"); ok && !m.reclaimed {
			promised = append(promised, id)
		}
	}
	if m.table.HasMajority(promised) {
		m.candidate.RecordRenewal(sentAt)
	}
}

// restart replaces the voter on a seat by a new process at its address.
func (m *model) restart(n int) {
	delete(m.voters, m.table.Seats[n].Holder)
	m.table, _ = m.table.TakeOver(m.voter(n))
}

// reclaim takes the candidate's seat if the store and the votes allow it.
func (m *model) reclaim() {
	if time.Now().Before(m.lapses) {
		return
	}
	proof := seater.ReclaimProof{Holder: silent, Lease: "l"}
	for id, f := range m.voters {
		if ok, _ := f.Fence(silent, "l"); ok {
			proof.FencedBy = append(proof.FencedBy, id)
		}
	}
	if next, err := m.table.Reclaim(proof); err == nil {
		m.table = next
		m.reclaimed = true
	}
}

// TestEveryShortRunKeepsOneHolder runs every sequence of steps up to a depth:
// no seat is taken from a candidate that may still act.
func TestEveryShortRunKeepsOneHolder(t *testing.T) {
	steps := []func(*model){
		(*model).wait,
		func(m *model) { m.ask(1) },
		func(m *model) { m.ask(2) },
		func(m *model) { m.ask(1, 2) },
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
					t.Fatalf("run %d: the seat was reclaimed while its holder may act", run)
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
