package leaseholder

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Promise implements the peers' Voter. The revisions are read after the promise
// was given, so that whatever this instance confirmed before is told.
func (k *Leaseholder) Promise(_ context.Context, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	promised, reason := k.promise(r)
	config, seats := k.cfg.Roller.Newest()
	return &peerpb.PromiseReply{
		Promised:       promised,
		Reason:         reason,
		ConfigRevision: uint64(config),
		SeatRevision:   uint64(seats),
	}, nil
}

func (k *Leaseholder) promise(r *peerpb.PromiseRequest) (bool, string) {
	if ids.Instance(r.GetVoter()) != k.cfg.Self.Instance {
		return false, "another instance runs here"
	}
	t := k.cfg.Roller.Stored()
	if t == nil {
		return false, "the voter knows no seat table"
	}
	row, ok := t.SeatOf(ids.Instance(r.GetCandidate()))
	if !ok {
		return false, "the candidate holds no seat"
	}
	if k.isYielding() {
		return false, "the voter is giving up a seat"
	}
	return k.cfg.Fencer.Promise(row.Holder, row.Lease)
}

// Fence implements the peers' Voter. Both sides must know the same seat table,
// because the fence holds for the store lease that it lists.
func (k *Leaseholder) Fence(_ context.Context, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	fenced, reason := k.fence(r)
	_, seats := k.cfg.Roller.Newest()
	return &peerpb.FenceReply{Fenced: fenced, Clear: fenced, Reason: reason, SeatRevision: uint64(seats)}, nil
}

func (k *Leaseholder) fence(r *peerpb.FenceRequest) (bool, string) {
	if ids.Instance(r.GetVoter()) != k.cfg.Self.Instance {
		return false, "another instance runs here"
	}
	t := k.cfg.Roller.Stored()
	if t == nil || uint64(t.Revision) != r.GetSeatRevision() {
		return false, "the voter knows another seat table"
	}
	row, ok := t.SeatOf(ids.Instance(r.GetSilent()))
	if !ok {
		return false, "the silent instance holds no seat"
	}
	if k.isYielding() {
		return false, "the voter is giving up a seat"
	}
	return k.cfg.Fencer.Fence(row.Holder, row.Lease)
}
