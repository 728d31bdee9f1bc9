package leaseholder

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// reclaimNext checks the store lease of the holder after this one in the table.
// If it has expired, it tries to reclaim the seats, and on failure goes on to
// the next holder. All holders together check each other, and each costs the
// store one read every seatCheckInterval.
func (l *Leaseholder) reclaimNext(ctx context.Context, t *seater.Table) error {
	all := t.Holders()
	self := 0
	for n, i := range all {
		if i == l.cfg.Self.Instance {
			self = n
		}
	}
	for offset := 1; offset < len(all); offset++ {
		row, _ := t.SeatOf(all[(self+offset)%len(all)])
		expired, err := l.leaseExpired(ctx, row)
		if err != nil || !expired {
			return err
		}
		if err := l.reclaim(ctx, t, row); err == nil {
			return nil // The change of the table triggers the next check.
		}
	}
	return nil
}

// reclaimIfExpired frees the seats of a holder if its store lease has expired and
// the holders of a majority of the seats have fenced it.
func (l *Leaseholder) reclaimIfExpired(ctx context.Context, t *seater.Table, row seater.Seat) error {
	expired, err := l.leaseExpired(ctx, row)
	if err != nil {
		return err
	}
	if !expired {
		return errs.New("the store lease of %s is still valid", row.Holder)
	}
	return l.reclaim(ctx, t, row)
}

func (l *Leaseholder) leaseExpired(ctx context.Context, row seater.Seat) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return l.cfg.Store.Expired(ctx, platform.LeaseID(row.Lease))
}

// reclaim collects the votes and frees the seats. The votes are valid only for
// the table revision that they were requested for.
func (l *Leaseholder) reclaim(ctx context.Context, t *seater.Table, row seater.Seat) error {
	proof := seater.ReclaimProof{Holder: row.Holder, Lease: row.Lease, FencedBy: l.collectFences(ctx, t, row.Holder)}
	if !t.HasMajority(proof.FencedBy) {
		return errs.New("%d instances fenced %s, which is no majority of the seats", len(proof.FencedBy), row.Holder)
	}
	err := l.updateTable(ctx, func(now *seater.Table) (*seater.Table, error) {
		if now.Revision != t.Revision {
			return nil, staleVotes("reclaim")
		}
		return now.Reclaim(proof)
	})
	if err == nil {
		logflags.Logger(logflags.Seats).WithField("silent", row.Holder).Info("seats reclaimed")
	}
	return err
}

// collectFences asks all other holders to fence one, and returns those that did.
func (l *Leaseholder) collectFences(ctx context.Context, t *seater.Table, holder ids.Instance) []ids.Instance {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var mu sync.Mutex
	var fenced []ids.Instance
	var wg sync.WaitGroup
	for _, i := range t.Holders() {
		if i == holder {
			continue
		}
		row, _ := t.SeatOf(i)
		wg.Go(func() {
			reply, err := l.requestFence(ctx, row, &peerpb.FenceRequest{
				Voter:        string(i),
				Silent:       string(holder),
				SeatRevision: uint64(t.Revision),
			})
			if err != nil || !reply.GetFenced() || !reply.GetClear() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			fenced = append(fenced, i)
		})
	}
	wg.Wait()
	return fenced
}

func (l *Leaseholder) requestFence(ctx context.Context, row seater.Seat, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	if row.Holder == l.cfg.Self.Instance {
		return l.Fence(ctx, r)
	}
	return l.cfg.Peers.Fence(ctx, row.PeersAddress, r)
}

// commitResize commits a resize of the table once the holders of a majority of
// the seats know it, by the table revisions in their replies to requests for
// promises.
func (l *Leaseholder) commitResize(ctx context.Context, t *seater.Table) error {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	informed := []ids.Instance{l.cfg.Self.Instance}
	votes, asked := l.requestPromises(ctx, t)
	for range asked {
		if v := <-votes; v.err == nil && v.reply.GetSeatRevision() >= uint64(t.Revision) {
			informed = append(informed, v.voter)
		}
	}
	if !t.HasMajority(informed) {
		return errs.New("the holders of a majority of the seats do not know seat table revision %d yet", t.Revision)
	}
	return l.updateTable(ctx, func(now *seater.Table) (*seater.Table, error) {
		if now.Revision != t.Revision {
			return nil, staleVotes("settle")
		}
		return now.CommitResize(informed)
	})
}

func staleVotes(name string) error {
	return &seater.ErrTransition{Transition: name, Reason: "the table has changed since the vote"}
}
