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

// The ways by which a lease is renewed.
const (
	throughStore = "store"
	throughPeers = "peers"
)

// renewLoop renews the lease every fencer.RenewEvery.
func (k *Leaseholder) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		k.renew(ctx)
		pause(ctx, fencer.RenewInterval-time.Since(began), k.renewNow)
	}
}

// renew tries the store, and the peers too when the store does not answer soon.
func (k *Leaseholder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	answered := make(chan struct{})
	renewed := false
	wg.Go(func() {
		defer close(answered)
		sentAt := time.Now()
		err := k.renewThroughStore(ctx)
		k.setStatus(func(s *status) { s.storeErr = err })
		if renewed = err == nil; renewed {
			k.renewed(sentAt, throughStore)
		}
	})
	pause(ctx, peersAfter, answered)
	select {
	case <-answered:
		if renewed {
			return
		}
	default:
	}
	sentAt := time.Now()
	err := k.renewThroughPeers(ctx)
	k.setStatus(func(s *status) { s.peersErr = err })
	if err == nil {
		k.renewed(sentAt, throughPeers)
	}
}

// renewed prolongs the lease.
func (k *Leaseholder) renewed(sentAt time.Time, through string) {
	was := k.cfg.Fencer.Valid()
	k.cfg.Fencer.RecordRenewal(sentAt)
	k.cfg.Checker.LeaseRenewed(k.cfg.Self.Instance, sentAt, k.cfg.Fencer.ValidUntil())
	k.mu.Lock()
	changed := k.status.through != through
	k.status.through = through
	k.mu.Unlock()
	if changed || !was {
		logflags.Logger(logflags.Lease).WithField("through", through).Info("lease renewed")
	}
}

// renewThroughStore renews the store lease and reads both keys at once. It
// counts only if the newest configuration is in force, and if the table lists
// this instance's seats with the lease that was renewed: another instance may
// reclaim them as soon as the listed one has lapsed.
func (k *Leaseholder) renewThroughStore(ctx context.Context) error {
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	if lease == "" {
		return errs.New("no lease at the store yet")
	}
	var wg sync.WaitGroup
	var headErr, tableErr error
	wg.Go(func() { headErr = k.readHead(ctx) })
	wg.Go(func() { tableErr = k.readTable(ctx) })
	err := k.cfg.Store.KeepAlive(ctx, lease)
	wg.Wait()
	var lapsed *platform.ErrLeaseLapsed
	if errors.As(err, &lapsed) {
		k.dropLease(lease)
	}
	if err := errors.Join(err, headErr, tableErr); err != nil {
		return err
	}
	return k.checkListed(lease)
}

// checkListed checks the lease of this instance's seats in the table.
func (k *Leaseholder) checkListed(lease platform.LeaseID) error {
	t := k.cfg.Roller.Stored()
	if t == nil {
		return nil
	}
	for _, s := range t.SeatsOf(k.cfg.Self.Instance) {
		if s.Lease != string(lease) {
			wake(k.kick)
			return errs.New("seat %d is listed with lease %s, which has lapsed", s.Number, s.Lease)
		}
	}
	return nil
}

// dropLease forgets a lapsed lease and asks for a new one.
func (k *Leaseholder) dropLease(lease platform.LeaseID) {
	k.mu.Lock()
	if k.lease == lease {
		k.lease = ""
	}
	k.mu.Unlock()
	logflags.Logger(logflags.Lease).WithField("lease", lease).Warn("the store lease has lapsed")
	wake(k.kick)
}

// readHead reads the configuration's head and brings it into force.
func (k *Leaseholder) readHead(ctx context.Context) error {
	e, err := k.cfg.Store.Get(ctx, roller.HeadKey)
	if err != nil {
		return err
	}
	return k.applyHead(ctx, e)
}

func (k *Leaseholder) applyHead(ctx context.Context, e platform.Entry) error {
	if e.Version == 0 {
		return errs.New("the store holds no configuration yet")
	}
	if !k.advance(roller.HeadKey, e.Version) {
		_, err := k.cfg.Roller.InForce()
		return err
	}
	h, err := roller.DecodeHead(e.Value)
	if err != nil {
		return err
	}
	if h, err = k.cfg.Roller.Unpack(ctx, h); err != nil {
		return err
	}
	err = k.cfg.Roller.ApplyHead(h)
	k.arrived(roller.HeadKey, e.Version)
	return err
}

// readTable reads the seat table and brings it into force.
func (k *Leaseholder) readTable(ctx context.Context) error {
	e, err := k.cfg.Store.Get(ctx, roller.SeatsKey)
	if err != nil {
		return err
	}
	return k.applyTable(e)
}

func (k *Leaseholder) applyTable(e platform.Entry) error {
	if !k.advance(roller.SeatsKey, e.Version) {
		return nil
	}
	t, err := seater.Decode(e.Value)
	if err != nil {
		return err
	}
	k.cfg.Roller.ApplyTable(t)
	k.arrived(roller.SeatsKey, e.Version)
	return nil
}

// advance reports whether a version is newer than the last one applied.
func (k *Leaseholder) advance(key string, v platform.Version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return v > k.versions[key]
}

// arrived records that a version was applied.
func (k *Leaseholder) arrived(key string, v platform.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions[key] = max(k.versions[key], v)
}

// vote is a peer's answer to a request for a promise.
type vote struct {
	voter   ids.Instance
	address string
	reply   *peerpb.PromiseReply
	err     error
}

// renewThroughPeers asks all seated instances for promises. It counts once a
// majority of the seats is promised and nothing newer than what the voters know
// is missing here. An instance without a seat cannot renew this way.
func (k *Leaseholder) renewThroughPeers(ctx context.Context) error {
	self := k.cfg.Self.Instance
	t := k.cfg.Roller.Stored()
	if t == nil {
		return errs.New("no seat table is known")
	}
	if _, ok := t.SeatOf(self); !ok {
		return errs.New("no seat is held")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	votes, asked := k.askAll(ctx, t)
	var promised []ids.Instance
	if k.cfg.Fencer.Valid() && !k.isYielding() {
		promised = append(promised, self)
	}
	reason := "no answers"
	for range asked {
		v := <-votes
		if v.err != nil {
			reason = v.err.Error()
			continue
		}
		if err := k.catchUp(ctx, v); err != nil {
			reason = err.Error()
			continue
		}
		if !v.reply.GetPromised() {
			reason = string(v.voter) + ": " + v.reply.GetReason()
			continue
		}
		promised = append(promised, v.voter)
		if k.enough(promised) {
			return nil
		}
	}
	if k.enough(promised) {
		return nil
	}
	return errs.New("%d of %d instances promised; last reason: %s", len(promised), len(t.Holders()), reason)
}

// enough reports whether the promises renew the lease by the newest table known.
func (k *Leaseholder) enough(promised []ids.Instance) bool {
	t := k.cfg.Roller.Stored()
	_, seated := t.SeatOf(k.cfg.Self.Instance)
	_, err := k.cfg.Roller.InForce()
	return seated && err == nil && k.cfg.Roller.Snapshot() != nil && t.HasMajority(promised)
}

// askAll asks the other seated instances at once.
func (k *Leaseholder) askAll(ctx context.Context, t *seater.Table) (<-chan vote, int) {
	instances := t.Holders()
	votes := make(chan vote, len(instances))
	config, seats := k.cfg.Roller.Newest()
	asked := 0
	for _, i := range instances {
		if i == k.cfg.Self.Instance {
			continue
		}
		asked++
		row, _ := t.SeatOf(i)
		go func() {
			reply, err := k.cfg.Peers.Promise(ctx, row.PeersAddress, &peerpb.PromiseRequest{
				Voter:          string(i),
				Candidate:      string(k.cfg.Self.Instance),
				ConfigRevision: uint64(config),
				SeatRevision:   uint64(seats),
			})
			votes <- vote{voter: i, address: row.PeersAddress, reply: reply, err: err}
		}()
	}
	return votes, asked
}

// catchUp fetches what a voter knows and this instance does not.
func (k *Leaseholder) catchUp(ctx context.Context, v vote) error {
	if k.knows(v.reply) {
		return nil
	}
	if err := k.fetch(ctx, v.address); err != nil {
		return err
	}
	if !k.knows(v.reply) {
		return errs.New("%s did not hand over what it knows", v.voter)
	}
	return nil
}

func (k *Leaseholder) knows(r *peerpb.PromiseReply) bool {
	config, seats := k.cfg.Roller.Newest()
	return uint64(config) >= r.GetConfigRevision() && uint64(seats) >= r.GetSeatRevision()
}

// fetch takes what is newer at a peer.
func (k *Leaseholder) fetch(ctx context.Context, address string) error {
	config, seats := k.cfg.Roller.Newest()
	reply, err := k.cfg.Peers.Fetch(ctx, address, &peerpb.FetchRequest{
		ConfigRevision: uint64(config),
		SeatRevision:   uint64(seats),
	})
	if err != nil {
		return err
	}
	return k.cfg.Roller.Absorb(reply)
}
