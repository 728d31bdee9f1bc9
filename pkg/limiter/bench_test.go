package limiter

import (
	"context"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// fixedLease is a lease that is valid until a fixed time.
type fixedLease struct{ until time.Time }

func (s *fixedLease) Check() *refusal.Refusal {
	if time.Now().Before(s.until) {
		return nil
	}
	return refusal.Unavailable(refusal.CodeNotServing, "no lease", 0)
}

func (s *fixedLease) ValidUntil() time.Time { return s.until }

// newSingleHost returns a limiter that holds the only seat.
func newSingleHost(workspaces ...config.Workspace) *Limiter {
	l := New(Config{
		Self:  "alone",
		Lease: &fixedLease{until: time.Now().Add(time.Hour)},
		Hosts: func() []*peerpb.HostState { return nil },
	})
	l.SetTable("alone", &seater.Table{Revision: 1, Seats: []seater.Seat{{Holder: "alone", Epoch: 1}}})
	l.Configure(snapshot(1, 1, workspaces...))
	return l
}

// BenchmarkAdmit measures admission from the host's own share.
func BenchmarkAdmit(b *testing.B) {
	l := newSingleHost(config.Workspace{Name: "ws", Rate: 1e8, Burst: 1e9})
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Admit(context.Background(), "ws"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdmitParallel measures admission from many goroutines over eight
// workspaces.
func BenchmarkAdmitParallel(b *testing.B) {
	names := []ids.Workspace{"a", "b", "c", "d", "e", "f", "g", "h"}
	var all []config.Workspace
	for _, n := range names {
		all = append(all, config.Workspace{Name: n, Rate: 1e8, Burst: 1e9})
	}
	l := newSingleHost(all...)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if err := l.Admit(context.Background(), names[i%len(names)]); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
