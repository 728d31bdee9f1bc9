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

// buildRights makes the parts that hold this host's share of the limits.
func (h *Host) buildRights() {
	lend := &lenders{pool: h.pool, dir: h.dir}
	h.limiter = limiter.New(limiter.Config{
		Self:    h.cfg.Instance,
		Lease:   &h.fencer,
		Lenders: lend,
		Hosts:   h.Hosts,
		Checker: h.cfg.Checker,
	})
	h.slotter = slotter.New(slotter.Config{
		Self:    h.cfg.Instance,
		Lease:   &h.fencer,
		Lenders: lend,
		Hosts:   h.Hosts,
		Checker: h.cfg.Checker,
	})
}

// buildControl makes the parts that keep the lease, seats and configuration.
func (h *Host) buildControl() {
	caller := &peerCaller{pool: h.pool}
	h.roller = roller.New(roller.Config{
		Self:    h.cfg.Instance,
		Parse:   parseDocument,
		Serving: h.fencer.Valid,
		Store:   h.store,
		Confirm: caller.Confirm,
		Checker: h.cfg.Checker,
	})
	h.keeper = leaseholder.New(leaseholder.Config{
		Self: seater.Holder{
			Instance:         h.cfg.Instance,
			Region:           h.cfg.Region,
			Zone:             h.cfg.Zone,
			CallersAddress:   h.cfg.CallersAddress,
			PeersAddress:     h.cfg.PeersAddress,
			OperatorsAddress: h.cfg.OperatorsAddress,
		},
		Store:       h.store,
		Peers:       caller,
		Fencer:      &h.fencer,
		Roller:      h.roller,
		Seeds:       h.cfg.Seeds,
		SeatDrainer: h.slotter,
		Checker:     h.cfg.Checker,
	})
	h.exchanger = gossiper.New(gossiper.Config{
		Self:    h.Self,
		Peers:   h.dir.addresses,
		Call:    caller.Exchange,
		OnRound: func(states []*peerpb.HostState) { h.prober.Observe(states) },
	})
}

// buildTraffic makes the parts that requests go through.
func (h *Host) buildTraffic() {
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
	h.recorder = deduplicator.New(deduplicator.Config{Self: h.cfg.Instance})
	h.buildCopies()
	h.handler = callers.New(callers.Config{
		Self:         h.cfg.Instance,
		Region:       h.cfg.Region,
		Lease:        h,
		ConfigSource: h.roller,
		RateLimiter:  h.limiter,
		Dispatcher:   h.dispatcher,
		Steerer:      h.steerer,
		Relayer:      &peers.RelayClient{Pool: h.pool, Directory: h.dir, Link: &h.link},
		Sender:       h.sender,
		Meter:        h,
		Idempotency:  h.recorder,
		Backup:       h.copier,
	})
	h.callers = callers.NewServer(callers.ServerConfig{Handler: h.handler})
	h.operators = operators.New(operators.Config{
		Host:          h,
		Configuration: h.roller,
		Applier:       h.roller,
		Reporter:      h.meter,
		Seats:         h.keeper,
	})
	h.peers = &peers.Server{
		Voter:    h.keeper,
		Roller:   h.roller,
		Gossiper: h.exchanger,
		Lender:   &lendingDesk{workspaces: h.limiter, targets: h.slotter},
		Relayer:  &peers.RelayServer{Forwarder: &forwarder{next: h.handler, steerer: h.steerer}, Link: &h.link},
		Backup:   h.backer,
	}
}

// subscribe hands each configuration and seat table to the parts. The rights
// come first, so that no part acts on a configuration without its limits.
func (h *Host) subscribe() {
	h.roller.OnConfig(h.limiter.Configure)
	h.roller.OnConfig(h.slotter.Configure)
	h.roller.OnConfig(h.picker.Configure)
	h.roller.OnConfig(h.dispatcher.Configure)
	h.roller.OnConfig(h.prober.Configure)
	h.roller.OnConfig(h.configureSender)
	h.roller.OnConfig(h.steerer.Configure)
	h.roller.OnConfig(h.meter.Configure)
	h.roller.OnTable(h.dir.table.Store)
	h.roller.OnTable(func(t *seater.Table) { h.limiter.SetTable(h.cfg.Instance, t) })
	h.roller.OnTable(func(t *seater.Table) { h.slotter.SetTable(h.cfg.Instance, t) })
	h.roller.OnTable(func(t *seater.Table) { h.steerer.SetTable(h.cfg.Instance, t) })
}

// configureSender divides each target's connections, and the region's link to
// other regions, over the region's seats.
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
