// Package gatewayhost assembles a gateway host: the request handler, the HTTP server,
// target selection, rate limiting and the exchange of state with the other hosts. New
// returns a Host; its Set, Put and Remove methods apply the configuration and
// registrations that the platform reports. Start serves callers, and Stop shuts down
// gracefully.
package gatewayhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/collector"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/hedger"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/reserver"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
	"gypsumbeam.example/gypsumbeam/pkg/watchdog"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	"gypsumbeam.example/gypsumbeam/service/siblings"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

const (
	// confirmationMargin is subtracted from the revocation time to get the maximum age
	// of a confirmation. It covers the time between the check of a key and the sending
	// of the request. At most half of the revocation time is used.
	confirmationMargin = 600 * time.Millisecond
	// upkeepInterval is the time between two rounds of upkeep.
	upkeepInterval = 100 * time.Millisecond
	// maxSavedRetries bounds the unused retries to a service that all hosts together
	// save up.
	maxSavedRetries = 40
	// targetIdleTimeout is how long an idle connection to a target is kept. Targets
	// close idle connections after some 10 s, and may drop them sooner.
	targetIdleTimeout = 4 * time.Second
	// targetConnectTimeout bounds the opening of a connection to a target.
	targetConnectTimeout = 400 * time.Millisecond
	// maxConnsPerTarget bounds the connections of this host to one target.
	maxConnsPerTarget = 32
	// maxConnsPerHost bounds the connections of this host to another one, to which it passes
	// requests on while it is cut off from the targets.
	maxConnsPerHost = 256
)

// Bounds are the operators' requirements. They may change while the host runs.
type Bounds struct {
	// FollowTime is the time within which changes must be followed: targets that leave and
	// new versions of the document.
	FollowTime time.Duration
	// RevocationTime is the time within which a withdrawn key stops working, and
	// GracePeriod the time that a graceful shutdown may take.
	RevocationTime, GracePeriod time.Duration
	// RetryRatio is the share of a service's requests that may be retried.
	RetryRatio float64
	// HedgeShare is the share of a service's requests that may be sent a second time while
	// they are in progress; 0 means none.
	HedgeShare float64
	// In any period of length RateWindow, a workspace may exceed its limit by the
	// fraction RateExcess of it plus RateSlack requests.
	RateWindow            time.Duration
	RateExcess, RateSlack float64
}

// rateAllowance returns how many requests a workspace may be admitted over its limit.
func (b *Bounds) rateAllowance(w *router.Workspace) float64 {
	return b.RateExcess*(w.Rate*b.RateWindow.Seconds()+w.Burst) + b.RateSlack
}

// Config holds the settings and dependencies of a Host. All fields except Dial and
// BufferBytes are required.
type Config struct {
	Self    lister.Host
	Regions map[ids.Zone]ids.Region
	// HeaderCodec reads and writes the header fields of callers and targets.
	HeaderCodec gateway.HeaderCodec
	// Confirmer records when the configuration was last confirmed to be the newest.
	Confirmer *confirmer.Confirmer
	// Bounds are the initial bounds.
	Bounds Bounds
	// State tells how far this host has followed the platform's store.
	State State
	// Conn carries the datagrams between hosts. Stop closes it.
	Conn net.PacketConn
	// BufferBytes bounds the memory for parts of requests and responses; 0 means no limit.
	BufferBytes int64
	// Dial opens a connection to a target; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// State is this host's view of the platform's store.
type State interface {
	siblings.State
	// Outdated reports whether changes are known to be missing that must be followed now.
	Outdated() bool
}

// Host is one gateway host. Its Set, Put and Remove methods may be called before Start.
type Host struct {
	cfg         Config
	log         log.Interface
	router      atomic.Pointer[router.Router]
	bounds      atomic.Pointer[Bounds]
	registrar   registrar.Registrar
	balancer    *balancer.Balancer
	lister      *lister.Lister
	throttler   throttler.Throttler
	budget      retrier.Budget
	hedger      hedger.Hedger
	isolator    isolator.Isolator
	sender      *targets.Sender
	relayer     *relayer
	watchdog    watchdog.Watchdog
	handler     *gateway.Handler
	server      *pipeliner.Server
	recorder    *recorder
	loads       loadRecorder
	rateSharing rateSharing
	memory      *reserver.Reserver
	apportioner apportioner
	metrics     collector.Collector
	broadcaster *siblings.Broadcaster
	draining    atomic.Bool
	rejecting   chan struct{}
	cancel      context.CancelFunc
	background  sync.WaitGroup
}

// New returns a Host that is not started.
func New(cfg Config) *Host {
	h := &Host{
		cfg: cfg, log: logflags.Logger(logflags.EntryHost), lister: &lister.Lister{}, memory: reserver.New(cfg.BufferBytes),
		rejecting: make(chan struct{}),
	}
	h.bounds.Store(&cfg.Bounds)
	h.recorder = newRecorder(&h.metrics)
	h.loads.log, h.loads.metrics = h.log, &h.metrics
	h.rateSharing.log, h.rateSharing.throttler = h.log, &h.throttler
	h.balancer = balancer.New(balancer.Config{
		Zone: cfg.Self.Zone, Regions: cfg.Regions, OnLimitHeard: h.recorder.limits.heard,
		OnLimitedPick: func(s ids.Service) { h.throttler.CountDemand(throttler.HashService(s)) },
	})
	h.balancer.SetShare(pacer.Share{})
	h.apportioner = apportioner{throttler: &h.throttler}
	h.registrar.OnChange = h.setTargets
	h.throttler.HostCount = h.lister.Count
	h.throttler.Tolerance = func(w *router.Workspace) float64 { return h.bounds.Load().rateAllowance(w) }
	h.isolator.Self, h.isolator.Hosts = cfg.Self.Instance, h.instances
	h.budget.MaxCredit = func() float64 { return maxSavedRetries * h.hostShare() }
	h.hedger.Share = func() float64 { return h.bounds.Load().HedgeShare }
	h.sender = targets.NewSender(targets.SenderConfig{
		Dial: cfg.Dial, ConnectTimeout: targetConnectTimeout, IdleTimeout: targetIdleTimeout, MaxConnsPerTarget: maxConnsPerTarget, OmitTimeout: true,
		OnConnect: h.recordConnect, OnConnectError: h.recordConnectError,
	})
	h.relayer = &relayer{self: cfg.Self, reaching: h.reachingTargets, sender: targets.NewSender(targets.SenderConfig{
		Dial: cfg.Dial, ConnectTimeout: targetConnectTimeout, IdleTimeout: targetIdleTimeout, MaxConnsPerTarget: maxConnsPerHost, OmitTimeout: true,
	})}
	h.watchdog.Reach = h.sender.Reaches
	h.watchdog.OthersReach = func() bool { return len(h.reachingTargets()) > 0 }
	h.watchdog.OnChange = func(cutOff bool) { h.log.WithField("cutOff", cutOff).Warn("links to targets changed") }
	h.handler = gateway.New(gateway.Config{
		HeaderCodec: cfg.HeaderCodec, RouterSource: h, Confirmer: cfg.Confirmer, Balancer: h.balancer, RateLimiter: &h.throttler,
		Sender: h.sender, RetryBudget: &h.budget, Hedger: &h.hedger, Isolator: &h.isolator, Watchdog: &h.watchdog, Relayer: h.relayer, Recorder: h.recorder, Memory: h.memory,
		MaxConfirmationAge: h.MaxConfirmationAge, Outdated: cfg.State.Outdated, RetryRatio: func() float64 { return h.bounds.Load().RetryRatio },
	})
	h.broadcaster = siblings.New(siblings.Config{
		Self: cfg.Self, Conn: cfg.Conn, Hosts: h.lister.Hosts, Ready: h.Ready, ReachesTargets: h.watchdog.Reaches, State: cfg.State,
		Confirmer: cfg.Confirmer, Balancer: h.balancer, Throttler: &h.throttler, Isolator: &h.isolator,
		Log: logflags.Logger(logflags.Peers),
	})
	h.registerGauges()
	h.server = pipeliner.New(pipeliner.Config{Handler: h.handler, Bounds: h.serverBounds})
	return h
}

// registerGauges adds the traffic between hosts, the memory for buffers, the responses that were
// cut and the hosts that share rates to the metrics.
func (h *Host) registerGauges() {
	traffic := h.broadcaster.Traffic()
	h.metrics.Gauge("siblings.messages", traffic.Messages.Load)
	h.metrics.Gauge("siblings.bytes.zone", traffic.IntraZoneBytes.Load)
	h.metrics.Gauge("siblings.bytes.region", traffic.InterZoneBytes.Load)
	h.metrics.Gauge("siblings.bytes.far", traffic.InterRegionBytes.Load)
	h.metrics.Gauge("memory.reservedBytes", h.memory.Used)
	h.metrics.Gauge("callers.cutResponses", func() int64 { return h.server.Cut() })
	h.metrics.Gauge("rates.hosts", func() int64 {
		all, _ := h.throttler.Hosts()
		return int64(all)
	})
	h.metrics.Gauge("rates.reachable", func() int64 {
		_, reachable := h.throttler.Hosts()
		return int64(reachable)
	})
}

// instances returns the hosts that accept callers.
func (h *Host) instances() []ids.Instance {
	var all []ids.Instance
	unavailable := h.broadcaster.Unavailable()
	for _, o := range h.lister.Hosts() {
		if !unavailable[o.CallersAddress] {
			all = append(all, o.Instance)
		}
	}
	return all
}

// Router implements gateway.RouterSource.
func (h *Host) Router() *router.Router { return h.router.Load() }

// SetBounds applies changed bounds. It may be called at any time.
func (h *Host) SetBounds(b Bounds) { h.bounds.Store(&b) }

// MaxConfirmationAge returns how long the configuration may be used after its last
// confirmation.
func (h *Host) MaxConfirmationAge() time.Duration {
	revoke := h.bounds.Load().RevocationTime
	return revoke - min(confirmationMargin, revoke/2)
}

// FollowTime returns the time within which changes must be followed.
func (h *Host) FollowTime() time.Duration { return h.bounds.Load().FollowTime }

// Available returns the hosts that are heard from and accept callers, by their addresses
// for callers.
func (h *Host) Available() map[string]bool { return h.broadcaster.Available() }

// hostShare returns this host's share of a limit that applies to all hosts together.
func (h *Host) hostShare() float64 { return 1 / float64(max(h.lister.Count(), 1)) }

func (h *Host) serverBounds() pipeliner.Bounds {
	r := h.router.Load()
	if r == nil {
		return pipeliner.Bounds{}
	}
	return pipeliner.Bounds{
		MaxHeaderBytes: r.Limits.MaxHeaderBytes, HeaderTimeout: r.Limits.HeaderTimeout, IdleTimeout: r.Limits.IdleTimeout,
	}
}

// Start serves callers on listener in the background until Stop. It may be called once.
func (h *Host) Start(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.background.Go(func() { h.server.Serve(listener) })
	h.background.Go(func() { h.upkeep(ctx) })
	h.background.Go(h.broadcaster.Receive)
	h.log.WithFields(log.Fields{
		"name": h.cfg.Self.CallersAddress, "zone": string(h.cfg.Self.Zone), "instance": string(h.cfg.Self.Instance),
	}).Info("started")
}

// upkeep runs the periodic work of the host until ctx ends.
func (h *Host) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	last := h.cfg.Confirmer.Now()
	for {
		select {
		case <-ticker.C:
			now := h.cfg.Confirmer.Now()
			if d := now.SuspendedSince(last); d > 0 {
				h.balancer.Suspended(d)
				h.isolator.Age(d)
			}
			last = now
			h.registrar.Expire()
			h.watchdog.Tick(ctx)
			h.lister.SetSelf(h.cfg.Self, h.Ready())
			h.updateShares()
			h.broadcaster.Tick()
			h.lister.SetUnavailable(h.broadcaster.Unavailable())
			h.recorder.limits.flush(time.Now())
			h.loads.record(h.balancer.Loads())
			h.rateSharing.record()
		case <-ctx.Done():
			return
		}
	}
}

// updateShares sets this host's shares of the targets' limits. A host that is not listed,
// as it is draining, goes on with the shares that it had.
func (h *Host) updateShares() {
	hosts := h.lister.Hosts()
	self := slices.IndexFunc(hosts, func(o lister.Host) bool { return o.CallersAddress == h.cfg.Self.CallersAddress })
	if self < 0 {
		return
	}
	h.balancer.SetShare(newLayout(self, hosts).equalShare())
	limited := h.balancer.LimitedServices()
	for _, service := range limited {
		h.balancer.SetServiceShare(service, h.apportioner.share(service, self, hosts))
	}
	h.apportioner.forget(limited)
}

// Ready reports whether this host accepts callers: it has a confirmed configuration, misses
// no change that must be followed now, is not cut off from the targets, and is not draining.
func (h *Host) Ready() bool {
	age, ok := h.cfg.Confirmer.Age()
	return !h.draining.Load() && h.router.Load() != nil && ok && age < h.MaxConfirmationAge() && !h.cfg.State.Outdated() &&
		!h.watchdog.CutOff()
}

// RelayedHandler returns the handler of requests that other hosts pass on. It is to be served
// for hosts only, as it trusts their header fields.
func (h *Host) RelayedHandler() http.Handler { return h.handler.RelayedHandler() }

// setTargets takes in the registered targets.
func (h *Host) setTargets(all []registrar.Target) {
	addresses := make([]string, 0, len(all))
	for _, t := range all {
		addresses = append(addresses, t.Address)
	}
	h.watchdog.SetTargets(addresses)
	h.balancer.SetTargets(all)
}

func (h *Host) recordConnect(address string, took time.Duration) {
	h.watchdog.RecordConnect(address, true)
	h.balancer.RecordConnectTime(address, took)
}

// recordConnectError takes in that a connection to a target could not be opened. That a
// request was given up tells nothing.
func (h *Host) recordConnectError(address string, err error) {
	if !errors.Is(err, context.Canceled) {
		h.watchdog.RecordConnect(address, false)
	}
}

// reachingTargets returns the other hosts that reach targets.
func (h *Host) reachingTargets() []lister.Host { return h.broadcaster.ReachingTargets() }

// Lister returns the list of entry hosts that look-ups are answered from.
func (h *Host) Lister() *lister.Lister { return h.lister }

// Self returns the registration of this host.
func (h *Host) Self() lister.Host { return h.cfg.Self }

// Rank returns the position of this host among the hosts that it hears from, starting
// at 0.
func (h *Host) Rank() int { return h.broadcaster.Rank() }

// Neighbour returns the siblings address of the host whose copy of the store this host
// should follow; false means that this host should read the store itself.
func (h *Host) Neighbour() (string, bool) { return h.broadcaster.Neighbour() }

// Metrics returns the host's metrics, to which other components may add theirs.
func (h *Host) Metrics() *collector.Collector { return &h.metrics }
