package entryhost

import (
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/dispatcher"
	"gypsumbeam.example/gypsumbeam/pkg/gossiper"
	"gypsumbeam.example/gypsumbeam/pkg/leaseholder"
	"gypsumbeam.example/gypsumbeam/pkg/limiter"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/pkg/slotter"
	"gypsumbeam.example/gypsumbeam/pkg/steerer"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/operators"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

// buildLimits creates the components that hold this host's shares of the rate
// limits and of the targets' slots.
func (h *Host) buildLimits() {
	lenders := &lenderClient{pool: h.pool, directory: h.directory}
	h.limiter = limiter.New(limiter.Config{
		Self:    h.cfg.Instance,
		Lease:   &h.fencer,
		Lenders: lenders,
		Hosts:   h.Hosts,
		Checker: h.cfg.Checker,
	})
	h.slotter = slotter.New(slotter.Config{
		Self:    h.cfg.Instance,
		Lease:   &h.fencer,
		Lenders: lenders,
		Hosts:   h.Hosts,
		Checker: h.cfg.Checker,
	})
}

// buildControlPlane creates the components that maintain the serving lease, the
// seats, the configuration and the states of other hosts.
func (h *Host) buildControlPlane() {
	client := &peerClient{pool: h.pool}
	h.roller = roller.New(roller.Config{
		Self:    h.cfg.Instance,
		Parse:   parseDocument,
		Serving: h.fencer.Valid,
		Store:   h.store,
		Confirm: client.Confirm,
		Checker: h.cfg.Checker,
	})
	h.leaseholder = leaseholder.New(leaseholder.Config{
		Self: seater.Holder{
			Instance:         h.cfg.Instance,
			Region:           h.cfg.Region,
			Zone:             h.cfg.Zone,
			CallersAddress:   h.cfg.CallersAddress,
			PeersAddress:     h.cfg.PeersAddress,
			OperatorsAddress: h.cfg.OperatorsAddress,
		},
		Store:       h.store,
		Peers:       client,
		Fencer:      &h.fencer,
		Roller:      h.roller,
		Seeds:       h.cfg.Seeds,
		SeatDrainer: h.slotter,
		Checker:     h.cfg.Checker,
	})
	h.gossiper = gossiper.New(gossiper.Config{
		Self:    h.Self,
		Peers:   h.directory.peerAddresses,
		Call:    client.Exchange,
		OnRound: func(states []*peerpb.HostState) { h.prober.Observe(states) },
	})
}

// buildDataPath creates the components that handle requests, and the servers.
func (h *Host) buildDataPath() {
	h.sender = targets.NewSender(targets.SenderConfig{Dial: h.cfg.Dial})
	h.picker = picker.New(picker.Config{Region: h.cfg.Region})
	h.dispatcher = dispatcher.New(dispatcher.Config{Slotter: h.slotter, Picker: h.picker})
	h.prober = targets.NewProber(targets.ProberConfig{
		Self:   h.cfg.Instance,
		Region: h.cfg.Region,
		Sender: h.sender,
		Hosts:  h.Hosts,
		Lister: h.store,
		Picker: h.picker,
	})
	h.steerer = steerer.New(steerer.Config{
		Region:  h.cfg.Region,
		Self:    h.cfg.Instance,
		Hosts:   h.Hosts,
		Checker: h.cfg.Checker,
	})
	h.deduplicator = deduplicator.New(deduplicator.Config{Self: h.cfg.Instance})
	h.buildReplication()
	h.handler = callers.New(callers.Config{
		Self:         h.cfg.Instance,
		Region:       h.cfg.Region,
		Lease:        h,
		ConfigSource: h.roller,
		RateLimiter:  h.limiter,
		Dispatcher:   h.dispatcher,
		Steerer:      h.steerer,
		Relayer:      &peers.RelayClient{Pool: h.pool, Directory: h.directory, Link: &h.link},
		Sender:       h.sender,
		Meter:        h,
		Idempotency:  h.deduplicator,
		Backup:       h.replicator,
	})
	h.callers = callers.NewServer(callers.ServerConfig{Handler: h.handler})
	h.operators = operators.New(operators.Config{
		Host:          h,
		Configuration: h.roller,
		Applier:       h.roller,
		Reporter:      h.meter,
		Seats:         h.leaseholder,
	})
	h.peers = &peers.Server{
		Voter:    h.leaseholder,
		Roller:   h.roller,
		Gossiper: h.gossiper,
		Lender:   &lenderMux{workspaces: h.limiter, targets: h.slotter},
		Relayer:  &peers.RelayServer{Forwarder: &recordingForwarder{next: h.handler, steerer: h.steerer}, Link: &h.link},
		Backup:   h.replicaServer,
	}
}

// subscribe passes each new configuration and seat table to the components. The
// limiter and the slotter come first, so that no component acts on a configuration
// before its limits apply.
func (h *Host) subscribe() {
	h.roller.OnConfig(h.limiter.Configure)
	h.roller.OnConfig(h.slotter.Configure)
	h.roller.OnConfig(h.picker.Configure)
	h.roller.OnConfig(h.dispatcher.Configure)
	h.roller.OnConfig(h.prober.Configure)
	h.roller.OnConfig(h.configureSender)
	h.roller.OnConfig(h.steerer.Configure)
	h.roller.OnConfig(h.meter.Configure)
	h.roller.OnTable(h.directory.table.Store)
	h.roller.OnTable(func(t *seater.Table) { h.limiter.SetTable(h.cfg.Instance, t) })
	h.roller.OnTable(func(t *seater.Table) { h.slotter.SetTable(h.cfg.Instance, t) })
	h.roller.OnTable(func(t *seater.Table) { h.steerer.SetTable(h.cfg.Instance, t) })
}

// configureSender divides each target's connection limit, and the rate of the
// region's link to other regions, by the number of the region's seats.
func (h *Host) configureSender(snap *config.Snapshot) {
	hosts := 0
	for _, r := range snap.SeatRegions() {
		if r == h.cfg.Region {
			hosts++
		}
	}
	h.sender.Configure(snap, max(hosts, 1))
	if r, ok := snap.Region(h.cfg.Region); ok {
		h.link.SetRate(r.LinkBytesPerSecond() / int64(max(hosts, 1)))
	}
}
