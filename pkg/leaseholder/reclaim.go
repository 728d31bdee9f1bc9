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

// lookAtNext looks whether the holder after this one in the table is silent,
// and if so at those after it. All holders together look at all of them, and
// each costs the store one read in manageEvery.
func (k *Leaseholder) lookAtNext(ctx context.Context, t *seater.Table) error {
	all := t.Holders()
	at := 0
	for n, i := range all {
		if i == k.cfg.Self.Instance {
			at = n
		}
	}
	for step := 1; step < len(all); step++ {
		row, _ := t.SeatOf(all[(at+step)%len(all)])
		lapsed, err := k.lapsed(ctx, row)
		if err != nil || !lapsed {
			return err
		}
		if err := k.reclaim(ctx, t, row); err == nil {
			return nil // The change of the table brings the next look.
		}
	}
	return nil
}

// reclaimIfSilent frees the seats of a holder if the store shows that its lease
// has lapsed, and the peers that their promises have run out.
func (k *Leaseholder) reclaimIfSilent(ctx context.Context, t *seater.Table, row seater.Seat) error {
	lapsed, err := k.lapsed(ctx, row)
	if err != nil {
		return err
	}
	if !lapsed {
		return errs.New("%s holds a lease", row.Holder)
	}
	return k.reclaim(ctx, t, row)
}

func (k *Leaseholder) lapsed(ctx context.Context, row seater.Seat) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return k.cfg.Store.Lapsed(ctx, platform.LeaseID(row.Lease))
}

// reclaim gathers the votes and frees the seats. The votes hold for the very
// table that they were asked about.
func (k *Leaseholder) reclaim(ctx context.Context, t *seater.Table, row seater.Seat) error {
	proof := seater.ReclaimProof{Holder: row.Holder, Lease: row.Lease, FencedBy: k.gather(ctx, t, row.Holder)}
	if !t.HasMajority(proof.FencedBy) {
		return errs.New("%d instances fenced %s, which is no majority", len(proof.FencedBy), row.Holder)
	}
	err := k.change(ctx, func(now *seater.Table) (*seater.Table, error) {
		if now.Revision != t.Revision {
			return nil, tableChanged("reclaim")
		}
		return now.Reclaim(proof)
	})
	if err == nil {
		logflags.Logger(logflags.Seats).WithField("silent", row.Holder).Info("seats reclaimed")
	}
	return err
}

// gather returns the instances that fenced a silent one.
func (k *Leaseholder) gather(ctx context.Context, t *seater.Table, silent ids.Instance) []ids.Instance {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	var mu sync.Mutex
	var fenced []ids.Instance
	var wg sync.WaitGroup
	for _, i := range t.Holders() {
		if i == silent {
			continue
		}
		row, _ := t.SeatOf(i)
		wg.Go(func() {
			reply, err := k.askFence(ctx, row, &peerpb.FenceRequest{
				Voter:        string(i),
				Silent:       string(silent),
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

func (k *Leaseholder) askFence(ctx context.Context, row seater.Seat, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	if row.Holder == k.cfg.Self.Instance {
		return k.Fence(ctx, r)
	}
	return k.cfg.Peers.Fence(ctx, row.PeersAddress, r)
}

// settle finds out whether a majority knows the number of seats, by the table
// revisions in answers to requests for promises.
func (k *Leaseholder) settle(ctx context.Context, t *seater.Table) error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	knowing := []ids.Instance{k.cfg.Self.Instance}
	votes, asked := k.askAll(ctx, t)
	for range asked {
		if v := <-votes; v.err == nil && v.reply.GetSeatRevision() >= uint64(t.Revision) {
			knowing = append(knowing, v.voter)
		}
	}
	if !t.HasMajority(knowing) {
		return errs.New("a majority does not know seat table %d yet", t.Revision)
	}
	return k.change(ctx, func(now *seater.Table) (*seater.Table, error) {
		if now.Revision != t.Revision {
			return nil, tableChanged("settle")
		}
		return now.CommitResize(knowing)
	})
}

func tableChanged(step string) error {
	return &seater.ErrTransition{Transition: step, Reason: "the table has changed since the vote"}
}
