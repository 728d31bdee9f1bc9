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

// start starts the fleet and waits until it is ready, at most readyTimeout.
func (d *Demo) start(ctx context.Context) error {
	d.progressf("starting deployment %s", d.deployment.name)
	network, err := d.networkNumber(ctx)
	if err != nil {
		return err
	}
	notice := d.shortenTimes()
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
			cfg.MinResponseBytes = minResponseBytes
			cfg.ConnectTime = connectTime
			cfg.ProbeTime = probeTime
			cfg.OnRequestDone = d.recorder.addTargetRequest
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
	d.progressf("%d entry hosts and %d targets are ready", len(f.Nodes()), len(f.Targets))
	return nil
}

// The range of fleet.Config.NetworkNumber that is tried, so that several demos can run
// at the same time.
const (
	maxNetworkNumber = 240
	networkStep      = 10
)

// networkNumber returns the fleet.Config.NetworkNumber of the demo.
func (d *Demo) networkNumber(ctx context.Context) (int, error) {
	if d.cfg.InMemory {
		return fleet.DefaultNetworkNumber, nil
	}
	return freeNetworkNumber(ctx)
}

// freeNetworkNumber returns the first number of the range that no other fleet uses.
func freeNetworkNumber(ctx context.Context) (int, error) {
	var lc net.ListenConfig
	var last error
	for n := fleet.DefaultNetworkNumber; n <= maxNetworkNumber; n += networkStep {
		var l net.Listener
		// The store is the first process that a fleet starts.
		if l, last = lc.Listen(ctx, "tcp", fleet.StoreAddress(n)); last == nil {
			return n, l.Close()
		}
	}
	return 0, errs.New("no loopback network is free: %v", last)
}

// shortenTimes scales down the look-up TTL in a run shorter than DefaultDuration and
// returns the notice time of a stopping host, which must exceed the TTL so that
// callers have left before the host closes. Zero means the host's default.
func (d *Demo) shortenTimes() time.Duration {
	if d.cfg.Duration >= DefaultDuration {
		return 0
	}
	part := float64(d.cfg.Duration) / float64(DefaultDuration)
	limits := &d.document.Limits
	ttl := time.Duration(part * float64(limits.LookupTTL())).Round(time.Millisecond)
	limits.LookupTTLMs = int(max(ttl, minLookupTTL).Milliseconds())
	return limits.LookupTTL() + noticeMargin
}

// serviceTime returns a function that draws service times: at least a quarter of the
// mean, the rest exponentially distributed, at most four times the mean.
func (d *Demo) serviceTime(svc ids.Service) func(rng *rand.Rand) time.Duration {
	const floor, cutOff = 0.25, 4
	mean := float64(d.deployment.serviceTimes[svc])
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(mean * min(cutOff, floor+(1-floor)*rng.ExpFloat64()))
	}
}
