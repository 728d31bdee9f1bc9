package entryhost

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/dispatcher"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/gossiper"
	"gypsumbeam.example/gypsumbeam/pkg/leaseholder"
	"gypsumbeam.example/gypsumbeam/pkg/limiter"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/replicaserver"
	"gypsumbeam.example/gypsumbeam/pkg/replicator"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/shaper"
	"gypsumbeam.example/gypsumbeam/pkg/sleeper"
	"gypsumbeam.example/gypsumbeam/pkg/slotter"
	"gypsumbeam.example/gypsumbeam/pkg/steerer"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/operators"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/platform"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

// Host is one entry host. Start, then Stop or Kill, may each be called once.
type Host struct {
	cfg Config
	log log.Interface

	fencer     fencer.Fencer
	store      *platform.Client
	pool       *peers.Pool
	dir        *directory
	roller     *roller.Roller
	keeper     *leaseholder.Leaseholder
	exchanger  *gossiper.Gossiper
	limiter    *limiter.Limiter
	slotter    *slotter.Slotter
	picker     *picker.Picker
	dispatcher *dispatcher.Dispatcher
	steerer    *steerer.Steerer
	sender     *targets.Sender
	prober     *targets.Prober
	meter      *meter.Meter
	recorder   *deduplicator.Deduplicator
	backer     *replicaserver.Server
	copier     *replicator.Replicator
	link       shaper.Shaper
	handler    *callers.Handler

	callers   *callers.Server
	operators *operators.Server
	peers     *peers.Server

	// leaving says that callers are told to go elsewhere, and closed that
	// nothing new is taken.
	leaving atomic.Bool
	closed  atomic.Bool
	cancel  context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
}

// linkGauge counts the bytes of bodies sent to other entry hosts.
const linkGauge = "link.bodyBytesSent"

// New returns a host that has not started.
func New(cfg Config) (*Host, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	h := &Host{
		cfg:   cfg.withDefaults(),
		done:  make(chan struct{}),
		meter: meter.New(),
	}
	h.log = logflags.Logger(logflags.EntryHost).WithField("instance", string(h.cfg.Instance))
	h.pool = &peers.Pool{Dial: h.cfg.Dial}
	h.store = platform.New(platform.Config{BaseURL: h.cfg.StoreURL, Dial: h.cfg.Dial})
	h.dir = &directory{self: h.cfg, hosts: h.Hosts}
	h.buildRights()
	h.buildControl()
	h.buildTraffic()
	h.subscribe()
	// The only error is a name that is taken, and the registry is new.
	_ = h.meter.Registry().Register(linkGauge, metrics.NewFunctionalGauge(h.link.TotalBytes))
	return h, nil
}

// check returns one error that names every missing field.
func (c *Config) check() error {
	var group errs.Group
	for _, f := range []struct{ name, value string }{
		{"region", string(c.Region)},
		{"zone", string(c.Zone)},
		{"callers address", c.CallersAddress},
		{"peers address", c.PeersAddress},
		{"operators address", c.OperatorsAddress},
		{"store URL", c.StoreURL},
	} {
		if f.value == "" {
			group.Add(errs.New("entry host: the %s is missing", f.name))
		}
	}
	return group.Err()
}

// Start opens the listeners and starts all parts. The host serves callers once
// it has a serving lease and a configuration; Ready tells.
func (h *Host) Start() error {
	listeners, err := h.listen(h.cfg.PeersAddress, h.cfg.CallersAddress, h.cfg.OperatorsAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.peers.Start(listeners[0])
	h.callers.Start(listeners[1])
	h.operators.Start(listeners[2])
	for _, run := range []func(context.Context){
		h.keeper.Run,
		h.exchanger.Run,
		h.limiter.Run,
		h.slotter.Run,
		h.dispatcher.Run,
		h.prober.Run,
		h.steerer.Run,
	} {
		h.running.Go(func() { run(ctx) })
	}
	if h.cfg.Checker != nil {
		h.running.Go(func() { h.assertLease(ctx) })
	}
	h.log.WithFields(log.Fields{"region": string(h.cfg.Region), "callers": h.cfg.CallersAddress}).Info("started")
	return nil
}

// listen opens all listeners or none.
func (h *Host) listen(addresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, address := range addresses {
		l, err := h.cfg.Listen(address)
		if err == nil {
			open = append(open, l)
			continue
		}
		for _, o := range open {
			_ = o.Close() // The first error is the one to tell.
		}
		return nil, errs.New("entry host: cannot listen at %s: %v", address, err)
	}
	return open, nil
}

// Stop ends the host gracefully: it leaves the look-ups, serves on for the
// notice time, finishes its requests, hands back its rights, and ends. What is
// not done when ctx or the drain limit ends is cut, and the error says so.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DrainLimit)
	defer cancel()
	h.log.Info("leaving")
	h.leaving.Store(true)
	h.exchanger.Round(ctx)
	sleeper.Sleep(ctx, h.cfg.NoticeTime)
	var group errs.Group
	group.Add(h.callers.Drain(ctx))
	h.closed.Store(true)
	if err := h.releaseRights(ctx); err != nil {
		// Seats whose rights may be in use must not be given back as clean: the
		// peers reclaim them once the lease has lapsed.
		group.Add(err)
	} else {
		group.Add(h.keeper.Leave(ctx))
	}
	h.peers.Drain(ctx)
	h.end(ctx)
	err := group.Err()
	h.log.WithField("clean", err == nil).Info("stopped")
	return err
}

// releaseRights waits until nothing of this host's rights is in use any more.
func (h *Host) releaseRights(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		h.handler.Wait()
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return errs.New("requests that run at most once are cut: %v", ctx.Err())
	}
	return errs.Combine(h.limiter.Drain(ctx), h.slotter.Drain(ctx))
}

// Kill ends the host at once, as when its process dies: requests are cut and
// nothing is handed back.
func (h *Host) Kill() {
	h.fencer.Stop()
	h.cfg.Checker.InstanceEnded(h.cfg.Instance)
	h.cfg.Checker.RateHostEnded(string(h.cfg.Instance))
	h.cfg.Checker.SlotHostStopped(h.cfg.Instance, h.timeoutAt)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.end(ctx)
}

// end stops all parts and waits for them. Operators' requests are cut when ctx
// ends.
func (h *Host) end(ctx context.Context) {
	h.cancel()
	h.callers.Stop()
	h.peers.Stop()
	h.operators.Stop(ctx)
	h.pool.Close()
	h.running.Wait()
	h.sender.Close()
	h.store.Close()
	close(h.done)
}

// Done is closed once the host has ended.
func (h *Host) Done() <-chan struct{} { return h.done }
