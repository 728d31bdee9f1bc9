package siblings_test

import (
	"fmt"
	"testing"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
	"gypsumbeam.example/gypsumbeam/service/siblings"
)

// BenchmarkTick measures Tick on a host with requests at 8 targets for 6 workspaces and
// one peer.
func BenchmarkTick(b *testing.B) {
	bal := balancer.New(balancer.Config{Zone: "z"})
	th := &throttler.Throttler{}
	var all []registrar.Target
	for i := range 8 {
		all = append(all, registrar.Target{ID: ids.Target(fmt.Sprint("t", i)), Service: "s", Address: fmt.Sprint(i), Slots: 2, Zone: "z"})
	}
	bal.SetTargets(all)
	conn := &countingConn{}
	self := lister.Host{Instance: ids.NewInstance(), CallersAddress: "10.0.0.1:1", PeersAddress: "10.0.0.1:1"}
	broadcaster := siblings.New(siblings.Config{
		Self: self, Conn: conn, Ready: func() bool { return true }, ReachesTargets: func() bool { return true }, State: &host{},
		Hosts: func() []lister.Host {
			return []lister.Host{self, {Instance: ids.NewInstance(), CallersAddress: "10.0.0.2:1", PeersAddress: "10.0.0.2:1"}}
		},
		Confirmer: &confirmer.Confirmer{}, Balancer: bal, Throttler: th, Log: logflags.Logger(logflags.Peers),
	})
	for i := range 12 {
		w := balancer.Request{Service: "s", Class: "c", Object: balancer.HashObject("c", fmt.Sprint(i))}
		if _, err := bal.Pick(w); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range 6 {
			ws := &router.Workspace{Name: ids.Workspace(fmt.Sprint(i)), Rate: 1e9, Burst: 1e9}
			th.Prepare(ws)
			th.Admit(ws)
		}
		broadcaster.Tick()
	}
	b.ReportMetric(float64(conn.bytes.Load())/float64(conn.messages.Load()), "B/message")
}
