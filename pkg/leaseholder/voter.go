package leaseholder

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Promise implements peers.Voter. The revisions are read after the promise was
// given, so that the reply covers whatever this instance confirmed before.
func (l *Leaseholder) Promise(_ context.Context, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	promised, reason := l.promise(r)
	config, seats := l.cfg.Roller.NewestRevisions()
	return &peerpb.PromiseReply{
		Promised:       promised,
		Reason:         reason,
		ConfigRevision: uint64(config),
		SeatRevision:   uint64(seats),
	}, nil
}

func (l *Leaseholder) promise(r *peerpb.PromiseRequest) (bool, string) {
	if ids.Instance(r.GetVoter()) != l.cfg.Self.Instance {
		return false, "another instance runs here"
	}
	t := l.cfg.Roller.StoredTable()
	if t == nil {
		return false, "the voter knows no seat table"
	}
	row, ok := t.SeatOf(ids.Instance(r.GetCandidate()))
	if !ok {
		return false, "the candidate holds no seat"
	}
	if l.isReleasing() {
		return false, "the voter is giving up a seat"
	}
	return l.cfg.Fencer.Promise(row.Holder, row.Lease)
}

// Fence implements peers.Voter. Both sides must know the same seat table, because
// a fence applies to the store lease that the table lists.
func (l *Leaseholder) Fence(_ context.Context, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	fenced, reason := l.fence(r)
	_, seats := l.cfg.Roller.NewestRevisions()
	return &peerpb.FenceReply{Fenced: fenced, Clear: fenced, Reason: reason, SeatRevision: uint64(seats)}, nil
}

func (l *Leaseholder) fence(r *peerpb.FenceRequest) (bool, string) {
	if ids.Instance(r.GetVoter()) != l.cfg.Self.Instance {
		return false, "another instance runs here"
	}
	t := l.cfg.Roller.StoredTable()
	if t == nil || uint64(t.Revision) != r.GetSeatRevision() {
		return false, "the voter knows another seat table"
	}
	row, ok := t.SeatOf(ids.Instance(r.GetSilent()))
	if !ok {
		return false, "the silent instance holds no seat"
	}
	if l.isReleasing() {
		return false, "the voter is giving up a seat"
	}
	return l.cfg.Fencer.Fence(row.Holder, row.Lease)
}
