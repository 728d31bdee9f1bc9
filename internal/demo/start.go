package demo

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// start starts the fleet and waits until it is ready.
func (d *Demo) start(ctx context.Context) error {
	d.progress("starting deployment %s", d.deployment.name)
	network, err := d.network(ctx)
	if err != nil {
		return err
	}
	notice := d.shorten()
	f, err := fleet.New(fleet.Config{
		Document:       d.document,
		HostsPerRegion: d.deployment.hostsPerRegion,
		ZoneDelay:      d.deployment.zoneDelay,
		RegionDelay:    d.deployment.regionDelay,
		ClientDelay:    d.deployment.clientDelay,
		Loopback:       !d.cfg.InMemory,
		NetworkNumber:  network,
		ServiceTime:    d.serviceTime,
		NoticeTime:     notice,
		ConfigureTarget: func(_ *config.Service, cfg *target.Config) {
			cfg.MinResponseBytes = answerBytes
			cfg.ConnectTime = connectTime
			cfg.ProbeTime = probeTime
			cfg.OnRequestDone = d.recorder.work
		},
	})
	if err != nil {
		return err
	}
	d.fleet = f
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		f.Stop()
		return err
	}
	d.progress("%d entry hosts and %d targets are ready", len(f.Nodes()), len(f.Targets))
	return nil
}

// The loopback networks that are tried, so that demos can run side by side.
const (
	lastNetwork = 240
	networkStep = 10
)

// network returns the number of the network that the demo runs in.
func (d *Demo) network(ctx context.Context) (int, error) {
	if d.cfg.InMemory {
		return fleet.DefaultNetworkNumber, nil
	}
	return freeNetwork(ctx)
}

// freeNetwork returns a network whose addresses nobody listens at.
func freeNetwork(ctx context.Context) (int, error) {
	var lc net.ListenConfig
	var last error
	for n := fleet.DefaultNetworkNumber; n <= lastNetwork; n += networkStep {
		var l net.Listener
		// A fleet's store is its first process.
		if l, last = lc.Listen(ctx, "tcp", fleet.StoreAddress(n)); last == nil {
			return n, l.Close()
		}
	}
	return 0, errs.New("no loopback network is free: %v", last)
}

// shorten makes look-ups and the notice of a leaving host shorter in a short
// run, in the same proportion: callers must have left before the host closes.
// It returns the notice; zero takes the host's own.
func (d *Demo) shorten() time.Duration {
	if d.cfg.Duration >= DefaultDuration {
		return 0
	}
	part := float64(d.cfg.Duration) / float64(DefaultDuration)
	limits := &d.document.Limits
	ttl := time.Duration(part * float64(limits.LookupTTL())).Round(time.Millisecond)
	limits.LookupTTLMs = int(max(ttl, shortestLookup).Milliseconds())
	return limits.LookupTTL() + noticeMargin
}

// serviceTime draws from an exponential distribution above a floor, cut off at
// a few times the mean.
func (d *Demo) serviceTime(svc ids.Service) func(rng *rand.Rand) time.Duration {
	const floor, cutOff = 0.25, 4
	mean := float64(d.deployment.serviceTimes[svc])
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(mean * min(cutOff, floor+(1-floor)*rng.ExpFloat64()))
	}
}
