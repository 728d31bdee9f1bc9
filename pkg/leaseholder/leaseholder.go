// Package keeper keeps this instance's serving lease valid and its seat held,
// and follows the stored configuration and seat table.
package leaseholder

import (
	"context"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// The times of a Keeper.
const (
	// StoreTTL is the time to live of the lease at the store. It outlasts the
	// serving lease that a renewal through the store gives.
	StoreTTL = fencer.TTL + fencer.ClockMargin
	// renewTimeout bounds one renewal.
	renewTimeout = fencer.RenewInterval - 100*time.Millisecond
	// peersAfter is how long a renewal waits for the store before it asks the
	// peers as well.
	peersAfter = 400 * time.Millisecond
	// changeTimeout bounds one read or write of the store outside of renewals.
	changeTimeout = 4 * time.Second
	// watchRetry is the wait after a watch failed.
	watchRetry = time.Second
	// manageEvery is the time between looks at the seats.
	manageEvery = fencer.RenewInterval
	// fenceTimeout bounds one question about a silent instance.
	fenceTimeout = time.Second
	// spareAfter is how long a reclaimed seat must be free before a holder takes
	// it as a further one, so that an instance without a seat comes first.
	spareAfter = 500 * time.Millisecond
	// spareCleanAfter is the same for a seat that was released or never held.
	spareCleanAfter = time.Second
	// vacateTimeout bounds the wait for a seat's slots before it is given up.
	vacateTimeout = 3 * time.Second
	// spareStep keeps the holders of a region from racing for a spare seat.
	spareStep = 200 * time.Millisecond
)

// Peers asks other entry hosts.
type Peers interface {
	Promise(ctx context.Context, address string, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error)
	Fence(ctx context.Context, address string, r *peerpb.FenceRequest) (*peerpb.FenceReply, error)
	Fetch(ctx context.Context, address string, r *peerpb.FetchRequest) (*peerpb.FetchReply, error)
}

// Rights stops the use of one seat's rights. A *slotter.Slotter is one.
type Rights interface {
	// Vacate returns nil once none of the seat's slots is in use any more.
	DrainSeat(ctx context.Context, n ids.Seat) error
	// Keep takes a Vacate back.
	UndrainSeat(n ids.Seat)
}

// Config holds what a Keeper needs. All fields but Seeds, Rights and Checker
// are required.
type Config struct {
	// Self describes this instance; its Lease is left empty.
	Self   seater.Holder
	Store  platform.Store
	Peers  Peers
	Fencer *fencer.Fencer
	Roller *roller.Roller
	// Seeds lists peers' addresses to ask for the newest configuration when the
	// store is down at the start.
	Seeds []string
	// Rights is asked before a seat is given up; nil means that its slots may
	// still be in use.
	SeatDrainer Rights
	// Checker may be nil.
	Checker *checker.Checker
}

// Keeper implements the peers' Voter. Run may be called once; the other methods
// may be called at any time from several goroutines.
type Leaseholder struct {
	cfg  Config
	kick chan struct{}
	// renewNow asks for a renewal before the next one is due.
	renewNow chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}

	mu sync.Mutex
	// lease is the lease at the store, or empty.
	lease platform.LeaseID
	// versions holds the store's version of each key as last read.
	versions map[string]platform.Version
	// yieldedAt is the table revision at which a seat was last given up.
	yieldedAt ids.SeatRevision
	// seatedAt is when the newest seat was taken.
	seatedAt time.Time
	seats    []ids.Seat
	status   status
}

// status is what the last renewals and looks at the seats came to.
type status struct {
	storeErr error
	peersErr error
	seatErr  error
	through  string
}

// Status tells an operator how an instance stands.
type Status struct {
	Instance ids.Instance
	// Serving is whether the serving lease is valid, until ValidUntil.
	Serving    bool
	ValidUntil time.Time
	// Through is "store" or "peers": how the lease was last renewed.
	RenewedThrough string
	// Reason says why the lease is not valid; empty while it is.
	NotServingReason string
	// Seats lists the seats held, by the newest table known.
	Seats []ids.Seat
	// Revision is in force; Newest is the newest revision known of.
	Revision       ids.Revision
	NewestRevision ids.Revision
	SeatRevision   ids.SeatRevision
	// SeatReason says why no seat is held; empty while one is.
	NoSeatReason string
}

// New returns a Keeper that has not started.
func New(cfg Config) *Leaseholder {
	k := &Leaseholder{
		cfg:      cfg,
		kick:     make(chan struct{}, 1),
		renewNow: make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		versions: make(map[string]platform.Version),
	}
	cfg.Roller.OnTable(k.tableChanged)
	return k
}

// Run renews the lease and keeps the seat until ctx ends or Leave is called. On
// return this instance may not act any more.
func (k *Leaseholder) Run(ctx context.Context) {
	defer close(k.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){k.renewLoop, k.manageLoop, k.watchHead, k.watchSeats} {
		wg.Go(func() { loop(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-k.stop:
		cancel()
	}
	wg.Wait()
	k.cfg.Fencer.Stop()
}

// Done is closed once Run has returned.
func (k *Leaseholder) Done() <-chan struct{} { return k.done }

// Leave ends the serving lease, stops Run, and gives the seats and the store
// lease back until ctx ends. All requests of this instance must have ended. If
// the store does not take the seats back, the peers reclaim them later.
func (k *Leaseholder) Leave(ctx context.Context) error {
	k.cfg.Fencer.Stop()
	k.stopOnce.Do(func() { close(k.stop) })
	select {
	case <-k.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	k.cfg.Checker.InstanceEnded(k.cfg.Self.Instance)
	return k.release(ctx)
}

// Status returns how this instance stands.
func (k *Leaseholder) Status() Status {
	rev, failed := k.cfg.Roller.InForce()
	newest, seatRev := k.cfg.Roller.Newest()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{
		Instance:       k.cfg.Self.Instance,
		Serving:        k.cfg.Fencer.Valid(),
		ValidUntil:     k.cfg.Fencer.ValidUntil(),
		RenewedThrough: k.status.through,
		Seats:          append([]ids.Seat(nil), k.seats...),
		Revision:       rev,
		NewestRevision: newest,
		SeatRevision:   seatRev,
	}
	if !s.Serving {
		s.NotServingReason = k.reason(failed)
	}
	if len(s.Seats) == 0 && k.status.seatErr != nil {
		s.NoSeatReason = k.status.seatErr.Error()
	}
	return s
}

// reason says why there is no valid lease. The caller holds mu.
func (k *Leaseholder) reason(failed error) string {
	switch {
	case k.cfg.Fencer.Stopped():
		return "leaving"
	case failed != nil:
		return failed.Error()
	}
	text := "no renewal yet"
	if k.status.storeErr != nil {
		text = "store: " + k.status.storeErr.Error()
	}
	if k.status.peersErr != nil {
		text += "; peers: " + k.status.peersErr.Error()
	}
	return text
}

// tableChanged follows the seat table.
func (k *Leaseholder) tableChanged(t *seater.Table) {
	seats := t.SeatNumbersOf(k.cfg.Self.Instance)
	k.cfg.Fencer.SetSeats(seats)
	k.cfg.Fencer.Prune(func(i ids.Instance) bool {
		_, ok := t.SeatOf(i)
		return ok
	})
	k.mu.Lock()
	if len(seats) > len(k.seats) {
		k.seatedAt = time.Now()
	}
	k.seats = seats
	k.mu.Unlock()
	wake(k.kick)
}

// setStatus changes the status under its lock.
func (k *Leaseholder) setStatus(change func(s *status)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.status)
}

// wake fills a channel of capacity one without waiting.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d, for a wake-up, or for the end of ctx.
func pause(ctx context.Context, d time.Duration, wakeUp <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wakeUp:
	case <-ctx.Done():
	}
}
