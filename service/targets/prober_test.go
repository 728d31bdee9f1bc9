package targets_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

// hostList is a platform.HostLister that returns a list set by the test.
type hostList struct {
	hosts atomic.Pointer[[]platform.Host]
}

func (l *hostList) Hosts(context.Context) ([]platform.Host, error) {
	if h := l.hosts.Load(); h != nil {
		return *h, nil
	}
	return nil, nil
}

func singleTargetSnapshot() *config.Snapshot {
	return config.NewSnapshot(1, &config.Document{Services: []config.Service{{
		Name:      "till",
		Slots:     2,
		Upstreams: []config.Upstream{{Name: "a", Region: "here", Address: address}},
	}}})
}

func TestEachDrainSignalIsDetected(t *testing.T) {
	for name, arrange := range map[string]func(f *fixture, l *hostList){
		"health": func(f *fixture, _ *hostList) {
			f.target.SetBehaviour(func(b *target.Behaviour) { b.Load.Stuck = true })
			f.target.Drain()
		},
		"load": func(f *fixture, _ *hostList) {
			f.target.SetBehaviour(func(b *target.Behaviour) { b.Health.Override = "healthy" })
			f.target.Drain()
		},
		"list": func(_ *fixture, l *hostList) {
			l.hosts.Store(&[]platform.Host{{Address: address, Status: platform.HostLeaving}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, target.Config{Name: "a"})
				defer f.close()
				p := picker.New(picker.Config{Region: "here"})
				var l hostList
				prober := targets.NewProber(targets.ProberConfig{Self: "h1", Region: "here", Sender: f.sender, Picker: p, Lister: &l})
				p.Configure(singleTargetSnapshot())
				prober.Configure(singleTargetSnapshot())
				ctx, cancel := context.WithCancel(t.Context())
				go prober.Run(ctx)
				time.Sleep(3 * time.Second)
				is.True(p.Usable("a"))
				arrange(f, &l)
				time.Sleep(3 * time.Second)
				is.True(!p.Usable("a")) // detected within 3 s
				cancel()
				<-prober.Done()
			})
		})
	}
}

func TestTwoHostsProbeEachTargetAndShareResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, target.Config{Name: "a"})
		defer f.close()
		hosts := []*peerpb.HostState{}
		for _, name := range []string{"h1", "h2", "h3", "h4"} {
			hosts = append(hosts, &peerpb.HostState{Instance: name, Region: "here"})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var probers []*targets.Prober
		var pickers []*picker.Picker
		for _, h := range hosts {
			p := picker.New(picker.Config{Region: "here"})
			p.Configure(singleTargetSnapshot())
			pickers = append(pickers, p)
			prober := targets.NewProber(targets.ProberConfig{
				Self: ids.Instance(h.GetInstance()), Region: "here", Sender: f.sender,
				Picker: p,
				Hosts:  func() []*peerpb.HostState { return hosts },
			})
			prober.Configure(singleTargetSnapshot())
			probers = append(probers, prober)
			go prober.Run(ctx)
		}
		time.Sleep(9500 * time.Millisecond)
		is.Equal(f.target.Stats().Probes, 10*2*2) // ten rounds by two hosts of two endpoints
		f.target.Drain()
		time.Sleep(time.Second)
		for i, prober := range probers {
			hosts[i].Targets = prober.Reports()
			hosts[i].Seq = 1
		}
		for _, prober := range probers {
			prober.Observe(hosts)
		}
		for _, p := range pickers {
			is.True(!p.Usable("a")) // all four hosts know
		}
		cancel()
		for _, prober := range probers {
			<-prober.Done()
		}
	})
}

func TestHangingProbesKeepServingTargetInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, target.Config{Name: "a"})
		defer f.close()
		f.target.SetBehaviour(func(b *target.Behaviour) { b.Health.Hang = true })
		p := picker.New(picker.Config{Region: "here"})
		prober := targets.NewProber(targets.ProberConfig{Self: "h1", Region: "here", Sender: f.sender, Picker: p})
		p.Configure(singleTargetSnapshot())
		prober.Configure(singleTargetSnapshot())
		ctx, cancel := context.WithCancel(t.Context())
		go prober.Run(ctx)
		time.Sleep(5 * time.Second)
		_, ok := p.Pick("till", nil, func(ids.Target) bool { return true })
		is.True(ok)
		cancel()
		<-prober.Done()
	})
}
