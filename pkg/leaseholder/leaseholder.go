// Package leaseholder renews this instance's serving lease, obtains and releases
// its seats, and applies changes of the stored configuration and seat table. The
// lease is renewed through the store or, while the store does not answer, by
// promises of the holders of a majority of the seats.
//
// A caller creates a Leaseholder with New, serves it to peers as their voter,
// starts it with Run, and calls Leave at shutdown. Other packages ask the Fencer in
// Config whether the instance may act.
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

// Timeouts and intervals.
const (
	// StoreLeaseTTL is the time to live of the lease at the store. It outlasts the
	// serving lease that a renewal through the store gives.
	StoreLeaseTTL = fencer.TTL + fencer.ClockMargin
	// renewTimeout bounds one renewal.
	renewTimeout = fencer.RenewInterval - 100*time.Millisecond
	// peerFallbackDelay is how long a renewal waits for the store before it asks
	// the peers as well.
	peerFallbackDelay = 400 * time.Millisecond
	// storeTimeout bounds one read or update of the store outside of renewals.
	storeTimeout = 4 * time.Second
	// watchRetryDelay is the wait after a failed watch.
	watchRetryDelay = time.Second
	// seatCheckInterval is the time between checks of the seats.
	seatCheckInterval = fencer.RenewInterval
	// voteTimeout bounds one round of requests to the other seat holders.
	voteTimeout = time.Second
	// spareUncleanDelay is how long a seat whose last holder did not release it
	// must be free before a holder claims it as an additional one, so that an
	// instance without a seat comes first.
	spareUncleanDelay = 500 * time.Millisecond
	// spareCleanDelay is the same for a seat that was released or never held.
	spareCleanDelay = time.Second
	// drainTimeout bounds the wait for a seat's slots before it is released.
	drainTimeout = 3 * time.Second
	// spareStagger separates the claims of a region's holders, so that they do
	// not race for a spare seat.
	spareStagger = 200 * time.Millisecond
)

// Peers sends requests to the entry host at an address.
type Peers interface {
	Promise(ctx context.Context, address string, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error)
	Fence(ctx context.Context, address string, r *peerpb.FenceRequest) (*peerpb.FenceReply, error)
	Fetch(ctx context.Context, address string, r *peerpb.FetchRequest) (*peerpb.FetchReply, error)
}

// SeatDrainer stops the use of one seat's slots. *slotter.Slotter implements it.
type SeatDrainer interface {
	// DrainSeat takes the seat's slots out of use and returns nil once none of
	// them is in use, or an error if ctx ends first.
	DrainSeat(ctx context.Context, n ids.Seat) error
	// UndrainSeat reverts DrainSeat.
	UndrainSeat(n ids.Seat)
}

// Config holds the dependencies of a Leaseholder. All fields but Seeds,
// SeatDrainer and Checker are required.
type Config struct {
	// Self describes this instance; its Lease must be empty.
	Self   seater.Holder
	Store  platform.Store
	Peers  Peers
	Fencer *fencer.Fencer
	Roller *roller.Roller
	// Seeds lists the addresses of peers to ask for the newest configuration
	// and seat table if the store is down at startup.
	Seeds []string
	// SeatDrainer is called before one of several seats is released. If it is
	// nil, such a seat is released as unclean.
	SeatDrainer SeatDrainer
	// Checker may be nil.
	Checker *checker.Checker
}

// Leaseholder implements peers.Voter. Run may be called once; the other methods
// may be called at any time from several goroutines.
type Leaseholder struct {
	cfg Config
	// wakeSeatLoop triggers a check of the seats before the next one is due.
	wakeSeatLoop chan struct{}
	// renewNow triggers a renewal before the next one is due.
	renewNow chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}

	mu sync.Mutex
	// lease is the lease at the store; empty if there is none.
	lease platform.LeaseID
	// versions holds the newest store version applied of each key.
	versions map[string]platform.Version
	// releasedFrom is the revision of the table from which a single seat was
	// last released; zero means never.
	releasedFrom ids.SeatRevision
	// seatedAt is when the number of held seats last grew.
	seatedAt time.Time
	seats    []ids.Seat
	status   status
}

// status holds the results of the last renewals and seat checks.
type status struct {
	storeErr       error
	peersErr       error
	seatErr        error
	renewedThrough string
}

// Status describes the lease and the seats of an instance.
type Status struct {
	Instance ids.Instance
	// Serving reports whether the serving lease is valid; it ends at ValidUntil.
	Serving    bool
	ValidUntil time.Time
	// RenewedThrough is "store" or "peers", or empty before the first renewal.
	RenewedThrough string
	// NotServingReason says why the lease is not valid; empty while it is.
	NotServingReason string
	// Seats lists the seats held according to the newest known table.
	Seats []ids.Seat
	// Revision is the configuration in force, NewestRevision the newest known.
	Revision       ids.Revision
	NewestRevision ids.Revision
	SeatRevision   ids.SeatRevision
	// NoSeatReason says why no seat is held; empty while one is.
	NoSeatReason string
}

// New returns a Leaseholder and registers it with cfg.Roller. It does nothing
// until Run is called.
func New(cfg Config) *Leaseholder {
	k := &Leaseholder{
		cfg:          cfg,
		wakeSeatLoop: make(chan struct{}, 1),
		renewNow:     make(chan struct{}, 1),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		versions:     make(map[string]platform.Version),
	}
	cfg.Roller.OnTable(k.onTable)
	return k
}

// Run renews the lease and manages the seats until ctx ends or Leave is called.
// On return the serving lease has ended for good.
func (l *Leaseholder) Run(ctx context.Context) {
	defer close(l.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){l.renewLoop, l.seatLoop, l.watchHead, l.watchSeats} {
		wg.Go(func() { loop(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-l.stop:
		cancel()
	}
	wg.Wait()
	l.cfg.Fencer.Stop()
}

// Done is closed once Run has returned.
func (l *Leaseholder) Done() <-chan struct{} { return l.done }

// Leave ends the serving lease, stops Run, and releases the seats and the store
// lease. All requests of this instance must have ended before. It retries
// until ctx ends and then returns the last error; the peers reclaim seats that
// could not be released.
func (l *Leaseholder) Leave(ctx context.Context) error {
	l.cfg.Fencer.Stop()
	l.stopOnce.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.cfg.Checker.InstanceEnded(l.cfg.Self.Instance)
	return l.releaseAll(ctx)
}

// Status returns the current state of the lease and the seats.
func (l *Leaseholder) Status() Status {
	rev, failed := l.cfg.Roller.InForce()
	newest, seatRev := l.cfg.Roller.NewestRevisions()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		Instance:       l.cfg.Self.Instance,
		Serving:        l.cfg.Fencer.Valid(),
		ValidUntil:     l.cfg.Fencer.ValidUntil(),
		RenewedThrough: l.status.renewedThrough,
		Seats:          append([]ids.Seat(nil), l.seats...),
		Revision:       rev,
		NewestRevision: newest,
		SeatRevision:   seatRev,
	}
	if !s.Serving {
		s.NotServingReason = l.notServingReason(failed)
	}
	if len(s.Seats) == 0 && l.status.seatErr != nil {
		s.NoSeatReason = l.status.seatErr.Error()
	}
	return s
}

// notServingReason says why there is no valid lease; failed is the error of the
// configuration in force. The caller holds mu.
func (l *Leaseholder) notServingReason(failed error) string {
	switch {
	case l.cfg.Fencer.Stopped():
		return "leaving"
	case failed != nil:
		return failed.Error()
	}
	text := "no renewal yet"
	if l.status.storeErr != nil {
		text = "store: " + l.status.storeErr.Error()
	}
	if l.status.peersErr != nil {
		text += "; peers: " + l.status.peersErr.Error()
	}
	return text
}

// onTable applies a new seat table to the Fencer and to this instance's seats.
func (l *Leaseholder) onTable(t *seater.Table) {
	seats := t.SeatNumbersOf(l.cfg.Self.Instance)
	l.cfg.Fencer.SetSeats(seats)
	l.cfg.Fencer.Prune(func(i ids.Instance) bool {
		_, ok := t.SeatOf(i)
		return ok
	})
	l.mu.Lock()
	if len(seats) > len(l.seats) {
		l.seatedAt = time.Now()
	}
	l.seats = seats
	l.mu.Unlock()
	wake(l.wakeSeatLoop)
}

// updateStatus changes the status under mu.
func (l *Leaseholder) updateStatus(change func(s *status)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.status)
}

// wake sends to a channel of capacity one without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause returns after d, on a wake-up, or when ctx ends.
func pause(ctx context.Context, d time.Duration, wakeUp <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wakeUp:
	case <-ctx.Done():
	}
}
