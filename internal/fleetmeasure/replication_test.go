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

// measureReplication runs one measurement. It fails if a key ran twice, if no payment was
// repeated, if one was replayed without replicas, or if less than 95% were with them.
func measureReplication(t *testing.T, d *fleetmeasure.Deployment, crashes int, rate float64, baselineTime, ackTimeout time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &fleetmeasure.Replication{Deployment: d, Crashes: crashes, Rate: rate, AckTimeout: ackTimeout, BaselineTime: baselineTime, Random: seeds.NewRand(t)}
		r, err := m.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range r.Rows {
			t.Logf("%s, ack timeout %v: completed before the crash %d, replayed %d; in flight %d, replayed %d, unknown %d; added p50 %v, p99 %v",
				row.Service, ackTimeout, row.Completed, row.CompletedReplayed, row.InFlight, row.InFlightReplayed, row.InFlightUnknown, row.AddedP50, row.AddedP99)
			if row.RanTwice > 0 {
				t.Errorf("%d keys ran twice", row.RanTwice)
			}
		}
		t.Logf("replicas: %d sent, %d lost, %d bytes on average", r.Sent, r.Lost, r.MeanBytes)
		with, without := r.Rows[0], r.Rows[1]
		if with.Completed == 0 || without.Completed == 0 {
			t.Errorf("no payment was repeated: %+v", r.Rows)
		}
		if without.CompletedReplayed > 0 {
			t.Errorf("%d responses were replayed without replicas", without.CompletedReplayed)
		}
		if with.CompletedReplayed < with.Completed*95/100 {
			t.Errorf("only %d of %d repeated payments got the recorded response", with.CompletedReplayed, with.Completed)
		}
	})
}

func TestCopiesRandomised(t *testing.T) {
	measureReplication(t, &fleetmeasure.Deployments[0], 1, 30, 0, 0)
}

func TestCopiesTable(t *testing.T) {
	if !*table {
		t.Skip("a measurement; run it with -args -table")
	}
	for i := range fleetmeasure.Deployments {
		d := &fleetmeasure.Deployments[i]
		for _, wait := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(d.Name+"/"+wait.String(), func(t *testing.T) { measureReplication(t, d, 10, 60, 20*time.Second, wait) })
		}
	}
}
