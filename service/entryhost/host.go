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

// Host is one entry host. Start may be called once, and after it either Stop or
// Kill once.
type Host struct {
	cfg Config
	log log.Interface

	fencer        fencer.Fencer
	store         *platform.Client
	pool          *peers.Pool
	directory     *directory
	roller        *roller.Roller
	leaseholder   *leaseholder.Leaseholder
	gossiper      *gossiper.Gossiper
	limiter       *limiter.Limiter
	slotter       *slotter.Slotter
	picker        *picker.Picker
	dispatcher    *dispatcher.Dispatcher
	steerer       *steerer.Steerer
	sender        *targets.Sender
	prober        *targets.Prober
	meter         *meter.Meter
	deduplicator  *deduplicator.Deduplicator
	replicaServer *replicaserver.Server
	replicator    *replicator.Replicator
	link          shaper.Shaper
	handler       *callers.Handler

	callers   *callers.Server
	operators *operators.Server
	peers     *peers.Server

	// leaving is set while the host drains: it is not ready, but still serves
	// requests. closed is set when it refuses all new requests.
	leaving atomic.Bool
	closed  atomic.Bool
	cancel  context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
}

// linkBytesGauge is the name of the gauge of body bytes sent to other entry hosts.
const linkBytesGauge = "link.bodyBytesSent"

// New returns a Host that is ready to Start. Its error names the missing fields of
// cfg.
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
	h.directory = &directory{cfg: h.cfg, hosts: h.Hosts}
	h.buildLimits()
	h.buildControlPlane()
	h.buildDataPath()
	h.subscribe()
	// Register fails only on a duplicate name, and the registry is new.
	_ = h.meter.Registry().Register(linkBytesGauge, metrics.NewFunctionalGauge(h.link.TotalBytes))
	return h, nil
}

// check returns an error that names all missing fields.
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

// Start opens the listeners and starts all components. The host serves callers
// once it has a serving lease and a configuration, which Ready reports. If a
// listener cannot be opened, Start returns an error and nothing runs.
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
		h.leaseholder.Run,
		h.gossiper.Run,
		h.limiter.Run,
		h.slotter.Run,
		h.dispatcher.Run,
		h.prober.Run,
		h.steerer.Run,
	} {
		h.running.Go(func() { run(ctx) })
	}
	if h.cfg.Checker != nil {
		h.running.Go(func() { h.reportLease(ctx) })
	}
	h.log.WithFields(log.Fields{"region": string(h.cfg.Region), "callers": h.cfg.CallersAddress}).Info("entry host started")
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
			_ = o.Close() // err is returned instead
		}
		return nil, errs.New("entry host: cannot listen at %s: %v", address, err)
	}
	return open, nil
}

// Stop shuts the host down gracefully: the host disappears from look-ups, serves
// requests for Config.NoticeTime, finishes those in flight, and releases its loans,
// limits and seats. Whatever is unfinished when ctx ends or Config.DrainLimit is
// over is aborted, and Stop returns an error.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DrainLimit)
	defer cancel()
	h.log.Info("entry host draining")
	h.leaving.Store(true)
	h.gossiper.Round(ctx)
	sleeper.Sleep(ctx, h.cfg.NoticeTime)
	var group errs.Group
	group.Add(h.callers.Drain(ctx))
	h.closed.Store(true)
	if err := h.drainLimits(ctx); err != nil {
		// Seats whose limits may still be in use must not be released: the peers
		// reclaim them once the lease has expired.
		group.Add(err)
	} else {
		group.Add(h.leaseholder.Leave(ctx))
	}
	h.peers.Drain(ctx)
	h.shutDown(ctx)
	err := group.Err()
	h.log.WithField("clean", err == nil).Info("entry host stopped")
	return err
}

// drainLimits waits until no request uses this host's limits and slots. It returns
// an error if ctx ends first.
func (h *Host) drainLimits(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		h.handler.Wait()
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return errs.New("at-most-once requests were aborted: %v", ctx.Err())
	}
	return errs.Combine(h.limiter.Drain(ctx), h.slotter.Drain(ctx))
}

// Kill stops the host at once, as a crash of its process would: requests are
// aborted, and loans and seats are not released.
func (h *Host) Kill() {
	h.fencer.Stop()
	h.cfg.Checker.InstanceEnded(h.cfg.Instance)
	h.cfg.Checker.RateHostEnded(string(h.cfg.Instance))
	h.cfg.Checker.SlotHostStopped(h.cfg.Instance, h.targetTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.shutDown(ctx)
}

// shutDown stops all components and waits for them. Operators' requests are
// aborted when ctx ends.
func (h *Host) shutDown(ctx context.Context) {
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

// Done returns a channel that is closed once the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.done }
