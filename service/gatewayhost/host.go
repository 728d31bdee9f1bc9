// Package gatewayhost wires the parts of one gateway host together: it takes
// what the platform tells, and serves callers by it.
package gatewayhost

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/collector"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	"gypsumbeam.example/gypsumbeam/service/siblings"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

const (
	// keyMargin is what a confirmation must be younger than a withdrawn key may
	// still work, for the time between the check and the send. It is a half of a
	// bound that is shorter than twice that.
	keyMargin = 600 * time.Millisecond
	// tickInterval is the time between two rounds of upkeep.
	tickInterval = 100 * time.Millisecond
	// acceptTime is how long a leaving host takes new requests, by which callers
	// have asked anew where to connect. Of a short grace it takes a half.
	acceptTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 500 * time.Millisecond
	// savedRetries is what all hosts together save up of second sends to a service.
	savedRetries = 40
	// targetIdle is how long a connection to a target is kept unused. Targets
	// close them after some 10 s, and may forget them sooner.
	targetIdle = 4 * time.Second
	// targetConnect bounds the opening of a connection to a target.
	targetConnect = 400 * time.Millisecond
	// targetConnections bounds the connections of this host to one target.
	targetConnections = 32
)

// Bounds are what the operators demand. They may change while the host runs.
type Bounds struct {
	// Revoke is the time in which a withdrawn key stops working, and Grace the
	// time that a graceful stop may take.
	RevocationTime, GracePeriod time.Duration
	// RetryRatio is the share of requests that may be sent again.
	RetryRatio float64
	// In any RateWindow, a workspace may be admitted what its limit allows and the
	// part RateExcess of that, and RateSlack requests, more.
	RateWindow            time.Duration
	RateExcess, RateSlack float64
}

// spare returns what a workspace may be admitted over its limit.
func (b *Bounds) spare(w *router.Workspace) float64 {
	return b.RateExcess*(w.Rate*b.RateWindow.Seconds()+w.Burst) + b.RateSlack
}

// Config holds what a Host needs. All fields are required.
type Config struct {
	Self    lister.Host
	Regions map[ids.Zone]ids.Region
	// Headers speaks the header fields of callers and targets.
	HeaderCodec gateway.HeaderCodec
	// Confirmer holds the proof that the configuration is the newest.
	Confirmer *confirmer.Confirmer
	// Bounds are those in force at the start.
	Bounds Bounds
	// State is what is known of the platform's store.
	State siblings.State
	// Conn carries datagrams between hosts.
	Conn net.PacketConn
}

// Host is one gateway host. Its feed methods may be called before Start.
type Host struct {
	cfg       Config
	log       log.Interface
	router    atomic.Pointer[router.Router]
	limits    atomic.Pointer[Bounds]
	registrar registrar.Registrar
	placer    *balancer.Balancer
	lister    *lister.Lister
	allotter  throttler.Throttler
	budget    retrier.Budget
	sender    *targets.Sender
	handler   *gateway.Handler
	server    *pipeliner.Server
	recorder  *recorder
	tally     collector.Collector
	gossiper  *siblings.Broadcaster
	leaving   atomic.Bool
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// New returns a Host that has not started.
func New(cfg Config) *Host {
	h := &Host{cfg: cfg, log: logflags.Logger(logflags.EntryHost), lister: &lister.Lister{}}
	h.limits.Store(&cfg.Bounds)
	h.placer = balancer.New(balancer.Config{Zone: cfg.Self.Zone, Regions: cfg.Regions, ColdShare: h.share})
	h.registrar.OnChange = h.placer.SetTargets
	h.allotter.HostCount = h.lister.Count
	h.allotter.Tolerance = func(w *router.Workspace) float64 { return h.limits.Load().spare(w) }
	h.budget.MaxCredit = func() float64 { return savedRetries * h.share() }
	h.sender = targets.NewSender(targets.SenderConfig{
		ConnectTimeout: targetConnect, IdleTimeout: targetIdle, MaxConnsPerTarget: targetConnections, OmitTimeout: true,
		OnConnect: h.placer.RecordConnectTime,
	})
	h.recorder = newRecorder(&h.tally)
	h.handler = gateway.New(gateway.Config{
		HeaderCodec: cfg.HeaderCodec, RouterSource: h, Confirmer: cfg.Confirmer, Balancer: h.placer, RateLimiter: &h.allotter,
		Sender: h.sender, RetryBudget: &h.budget, Recorder: h.recorder,
		MaxConfirmationAge: h.MaxConfirmationAge, RetryRatio: func() float64 { return h.limits.Load().RetryRatio },
	})
	h.gossiper = siblings.New(siblings.Config{
		Self: cfg.Self, Conn: cfg.Conn, Hosts: h.lister.Hosts, Ready: h.Ready, State: cfg.State,
		Confirmer: cfg.Confirmer, Balancer: h.placer, Throttler: &h.allotter, Log: logflags.Logger(logflags.Peers),
	})
	h.gauges()
	h.server = pipeliner.New(pipeliner.Config{Handler: h.handler, Bounds: h.bounds})
	return h
}

// gauges adds what hosts tell each other to the metrics.
func (h *Host) gauges() {
	t := h.gossiper.Traffic()
	h.tally.Gauge("siblings.messages", t.Messages.Load)
	h.tally.Gauge("siblings.bytes.zone", t.IntraZoneBytes.Load)
	h.tally.Gauge("siblings.bytes.region", t.InterZoneBytes.Load)
	h.tally.Gauge("siblings.bytes.far", t.InterRegionBytes.Load)
}

// Router implements gateway.Routes.
func (h *Host) Router() *router.Router { return h.router.Load() }

// SetBounds puts changed bounds in force.
func (h *Host) SetBounds(b Bounds) { h.limits.Store(&b) }

// KeyBound returns how old the proof may be that a key is in force.
func (h *Host) MaxConfirmationAge() time.Duration {
	revoke := h.limits.Load().RevocationTime
	return revoke - min(keyMargin, revoke/2)
}

// share returns this host's part of what all hosts may do together.
func (h *Host) share() float64 { return 1 / float64(max(h.lister.Count(), 1)) }

func (h *Host) bounds() pipeliner.Bounds {
	r := h.router.Load()
	if r == nil {
		return pipeliner.Bounds{}
	}
	return pipeliner.Bounds{
		HeadBytes: r.Limits.MaxHeaderBytes, Header: r.Limits.HeaderTimeout, Idle: r.Limits.IdleTimeout,
	}
}

// Start serves callers on l.
func (h *Host) Start(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.running.Go(func() { h.server.Serve(l) })
	h.running.Go(func() { h.upkeep(ctx) })
	h.running.Go(h.gossiper.Receive)
	h.log.WithFields(log.Fields{
		"name": h.cfg.Self.CallersAddress, "zone": string(h.cfg.Self.Zone), "instance": string(h.cfg.Self.Instance),
	}).Info("started")
}

// upkeep does what is due without a request.
func (h *Host) upkeep(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h.registrar.Expire()
			h.lister.SetSelf(h.cfg.Self, h.Ready())
			h.gossiper.Tick()
			h.lister.SetUnavailable(h.gossiper.Unavailable())
		case <-ctx.Done():
			return
		}
	}
}

// Ready reports whether this host takes callers.
func (h *Host) Ready() bool {
	age, ok := h.cfg.Confirmer.Age()
	return !h.leaving.Load() && h.router.Load() != nil && ok && age < h.MaxConfirmationAge()
}

// Lister returns what look-ups are answered from.
func (h *Host) Lister() *lister.Lister { return h.lister }

// Stop ends the host gracefully: callers go elsewhere, what is in progress is
// finished, and the rest is cut when the grace is over.
func (h *Host) Stop() {
	h.log.Info("leaving")
	grace := h.limits.Load().GracePeriod - stopMargin
	end := time.Now().Add(grace)
	h.leaving.Store(true)
	h.lister.SetSelf(h.cfg.Self, false)
	h.handler.DisableKeepAlives()
	time.Sleep(min(acceptTime, grace/2))
	h.handler.RejectRequests()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := h.server.Drain(ctx)
	h.server.Close()
	h.cancel()
	_ = h.cfg.Conn.Close() // The process ends next.
	h.running.Wait()
	h.sender.Close()
	h.log.WithField("clean", err == nil).Info("stopped")
}

// Self returns what this host tells of itself.
func (h *Host) Self() lister.Host { return h.cfg.Self }

// Rank returns the place of this host among those that are heard of.
func (h *Host) Rank() int { return h.gossiper.Rank() }

// Neighbour returns the host whose copy of the store this one is to follow, by its
// address for siblings; false means that it is to read the store itself.
func (h *Host) Neighbour() (string, bool) { return h.gossiper.Neighbour() }

// Tally returns the host's metrics, which other parts may add to.
func (h *Host) Metrics() *collector.Collector { return &h.tally }
