package fleetmeasure_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleetmeasure"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
)

var table = flag.Bool("table", false, "measure whole fleets of all deployments")

// measureCopies runs one measurement and checks what must hold of each.
func measureCopies(t *testing.T, d *fleetmeasure.Deployment, crashes int, rate float64, calm, wait time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &fleetmeasure.Copies{Deployment: d, Crashes: crashes, Rate: rate, Wait: wait, Calm: calm, Random: seeds.NewRand(t)}
		r, err := m.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range r.Rows {
			t.Logf("%s, wait %v: ended before the death %d, answered again %d; cut by it %d, answered %d, unknown %d; added p50 %v, p99 %v",
				row.Service, wait, row.Ended, row.EndedReplayed, row.InFlight, row.InFlightReplayed, row.InFlightUnknown, row.Added50, row.Added99)
			if row.Twice > 0 {
				t.Errorf("%d keys ran twice", row.Twice)
			}
		}
		t.Logf("copies: %d kept, %d lost, %d bytes each", r.Sent, r.Lost, r.Bytes)
		with, without := r.Rows[0], r.Rows[1]
		if with.Ended == 0 || without.Ended == 0 {
			t.Errorf("nothing was repeated: %+v", r.Rows)
		}
		if without.EndedReplayed > 0 {
			t.Errorf("%d answers came without copies", without.EndedReplayed)
		}
		if with.EndedReplayed < with.Ended*95/100 {
			t.Errorf("only %d of %d repeats got their answer", with.EndedReplayed, with.Ended)
		}
	})
}

func TestCopiesRandomised(t *testing.T) {
	measureCopies(t, &fleetmeasure.Deployments[0], 1, 30, 0, 0)
}

func TestCopiesTable(t *testing.T) {
	if !*table {
		t.Skip("a measurement; run it with -args -table")
	}
	for i := range fleetmeasure.Deployments {
		d := &fleetmeasure.Deployments[i]
		for _, wait := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(d.Name+"/"+wait.String(), func(t *testing.T) { measureCopies(t, d, 10, 60, 20*time.Second, wait) })
		}
	}
}
