package leaseholder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// The values of Status.RenewedThrough.
const (
	throughStore = "store"
	throughPeers = "peers"
)

// renewLoop renews the lease every fencer.RenewInterval.
func (l *Leaseholder) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		l.renew(ctx)
		pause(ctx, fencer.RenewInterval-time.Since(began), l.renewNow)
	}
}

// renew renews the lease through the store, and asks the peers as well if the
// store fails or has not answered after peerFallbackDelay.
func (l *Leaseholder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	answered := make(chan struct{})
	renewed := false
	wg.Go(func() {
		defer close(answered)
		sentAt := time.Now()
		err := l.renewThroughStore(ctx)
		l.updateStatus(func(s *status) { s.storeErr = err })
		if renewed = err == nil; renewed {
			l.recordRenewal(sentAt, throughStore)
		}
	})
	pause(ctx, peerFallbackDelay, answered)
	select {
	case <-answered:
		if renewed {
			return
		}
	default:
	}
	sentAt := time.Now()
	err := l.renewThroughPeers(ctx)
	l.updateStatus(func(s *status) { s.peersErr = err })
	if err == nil {
		l.recordRenewal(sentAt, throughPeers)
	}
}

// recordRenewal extends the lease by a renewal that was sent at sentAt.
func (l *Leaseholder) recordRenewal(sentAt time.Time, through string) {
	wasValid := l.cfg.Fencer.Valid()
	l.cfg.Fencer.RecordRenewal(sentAt)
	l.cfg.Checker.LeaseRenewed(l.cfg.Self.Instance, sentAt, l.cfg.Fencer.ValidUntil())
	l.mu.Lock()
	changed := l.status.renewedThrough != through
	l.status.renewedThrough = through
	l.mu.Unlock()
	if changed || !wasValid {
		logflags.Logger(logflags.Lease).WithField("through", through).Info("lease renewed")
	}
}

// renewThroughStore renews the store lease and reads both keys at once. It
// succeeds only if the newest configuration is in force, and if the table lists
// this instance's seats with the lease that was renewed: another instance may
// reclaim them as soon as the listed lease has expired.
func (l *Leaseholder) renewThroughStore(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease == "" {
		return errs.New("the store has granted no lease yet")
	}
	var wg sync.WaitGroup
	var headErr, tableErr error
	wg.Go(func() { headErr = l.readHead(ctx) })
	wg.Go(func() { tableErr = l.readTable(ctx) })
	err := l.cfg.Store.KeepAlive(ctx, lease)
	wg.Wait()
	var lapsed *platform.ErrLeaseExpired
	if errors.As(err, &lapsed) {
		l.dropLease(lease)
	}
	if err := errors.Join(err, headErr, tableErr); err != nil {
		return err
	}
	return l.checkTableLease(lease)
}

// checkTableLease returns an error if the table lists a seat of this instance
// with another lease.
func (l *Leaseholder) checkTableLease(lease platform.LeaseID) error {
	t := l.cfg.Roller.StoredTable()
	if t == nil {
		return nil
	}
	for _, s := range t.SeatsOf(l.cfg.Self.Instance) {
		if s.Lease != string(lease) {
			wake(l.wakeSeatLoop)
			return errs.New("the seat table lists seat %d with the expired lease %s", s.Number, s.Lease)
		}
	}
	return nil
}

// dropLease forgets an expired lease, so that the seat loop requests a new one.
func (l *Leaseholder) dropLease(lease platform.LeaseID) {
	l.mu.Lock()
	if l.lease == lease {
		l.lease = ""
	}
	l.mu.Unlock()
	logflags.Logger(logflags.Lease).WithField("lease", lease).Warn("the store lease has expired; requesting a new one")
	wake(l.wakeSeatLoop)
}

// readHead reads the head of the stored configuration and applies it.
func (l *Leaseholder) readHead(ctx context.Context) error {
	e, err := l.cfg.Store.Get(ctx, roller.HeadKey)
	if err != nil {
		return err
	}
	return l.applyHead(ctx, e)
}

func (l *Leaseholder) applyHead(ctx context.Context, e platform.Entry) error {
	if e.Version == 0 {
		return errs.New("the store holds no configuration yet")
	}
	if !l.isNewer(roller.HeadKey, e.Version) {
		_, err := l.cfg.Roller.InForce()
		return err
	}
	h, err := roller.DecodeHead(e.Value)
	if err != nil {
		return err
	}
	if h, err = l.cfg.Roller.LoadDocument(ctx, h); err != nil {
		return err
	}
	err = l.cfg.Roller.ApplyHead(h)
	l.recordVersion(roller.HeadKey, e.Version)
	return err
}

// readTable reads the stored seat table and applies it.
func (l *Leaseholder) readTable(ctx context.Context) error {
	e, err := l.cfg.Store.Get(ctx, roller.SeatsKey)
	if err != nil {
		return err
	}
	return l.applyTable(e)
}

func (l *Leaseholder) applyTable(e platform.Entry) error {
	if !l.isNewer(roller.SeatsKey, e.Version) {
		return nil
	}
	t, err := seater.Decode(e.Value)
	if err != nil {
		return err
	}
	l.cfg.Roller.ApplyTable(t)
	l.recordVersion(roller.SeatsKey, e.Version)
	return nil
}

// isNewer reports whether a version is newer than the last one applied.
func (l *Leaseholder) isNewer(key string, v platform.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return v > l.versions[key]
}

// recordVersion records that a version was applied.
func (l *Leaseholder) recordVersion(key string, v platform.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[key] = max(l.versions[key], v)
}

// vote is a peer's reply to a request for a promise.
type vote struct {
	voter   ids.Instance
	address string
	reply   *peerpb.PromiseReply
	err     error
}

// renewThroughPeers asks all seat holders for promises. It succeeds once the
// holders of a majority of the seats have promised and this instance has the
// newest configuration and table that they know. An instance without a seat
// cannot renew this way.
func (l *Leaseholder) renewThroughPeers(ctx context.Context) error {
	self := l.cfg.Self.Instance
	t := l.cfg.Roller.StoredTable()
	if t == nil {
		return errs.New("no seat table is known")
	}
	if _, ok := t.SeatOf(self); !ok {
		return errs.New("no seat is held")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	votes, asked := l.requestPromises(ctx, t)
	var promised []ids.Instance
	if l.cfg.Fencer.Valid() && !l.isReleasing() {
		promised = append(promised, self)
	}
	reason := "no replies"
	for range asked {
		v := <-votes
		if v.err != nil {
			reason = v.err.Error()
			continue
		}
		if err := l.catchUp(ctx, v); err != nil {
			reason = err.Error()
			continue
		}
		if !v.reply.GetPromised() {
			reason = string(v.voter) + ": " + v.reply.GetReason()
			continue
		}
		promised = append(promised, v.voter)
		if l.hasMajority(promised) {
			return nil
		}
	}
	if l.hasMajority(promised) {
		return nil
	}
	return errs.New("%d of %d seat holders promised, which is no majority of the seats; last reason: %s", len(promised), len(t.Holders()), reason)
}

// hasMajority reports whether the promises renew the lease according to the
// newest known table.
func (l *Leaseholder) hasMajority(promised []ids.Instance) bool {
	t := l.cfg.Roller.StoredTable()
	_, seated := t.SeatOf(l.cfg.Self.Instance)
	_, err := l.cfg.Roller.InForce()
	return seated && err == nil && l.cfg.Roller.Snapshot() != nil && t.HasMajority(promised)
}

// requestPromises asks the other seat holders in parallel. It returns the channel
// of their votes, and their number.
func (l *Leaseholder) requestPromises(ctx context.Context, t *seater.Table) (<-chan vote, int) {
	instances := t.Holders()
	votes := make(chan vote, len(instances))
	config, seats := l.cfg.Roller.NewestRevisions()
	asked := 0
	for _, i := range instances {
		if i == l.cfg.Self.Instance {
			continue
		}
		asked++
		row, _ := t.SeatOf(i)
		go func() {
			reply, err := l.cfg.Peers.Promise(ctx, row.PeersAddress, &peerpb.PromiseRequest{
				Voter:          string(i),
				Candidate:      string(l.cfg.Self.Instance),
				ConfigRevision: uint64(config),
				SeatRevision:   uint64(seats),
			})
			votes <- vote{voter: i, address: row.PeersAddress, reply: reply, err: err}
		}()
	}
	return votes, asked
}

// catchUp fetches a configuration or table that the voter knows and this
// instance does not.
func (l *Leaseholder) catchUp(ctx context.Context, v vote) error {
	if l.isUpToDate(v.reply) {
		return nil
	}
	if err := l.fetchFromPeer(ctx, v.address); err != nil {
		return err
	}
	if !l.isUpToDate(v.reply) {
		return errs.New("peer %s did not return the newer configuration or seat table that it reported", v.voter)
	}
	return nil
}

func (l *Leaseholder) isUpToDate(r *peerpb.PromiseReply) bool {
	config, seats := l.cfg.Roller.NewestRevisions()
	return uint64(config) >= r.GetConfigRevision() && uint64(seats) >= r.GetSeatRevision()
}

// fetchFromPeer fetches the configuration and table of a peer if they are newer.
func (l *Leaseholder) fetchFromPeer(ctx context.Context, address string) error {
	config, seats := l.cfg.Roller.NewestRevisions()
	reply, err := l.cfg.Peers.Fetch(ctx, address, &peerpb.FetchRequest{
		ConfigRevision: uint64(config),
		SeatRevision:   uint64(seats),
	})
	if err != nil {
		return err
	}
	return l.cfg.Roller.ApplyFetched(reply)
}
