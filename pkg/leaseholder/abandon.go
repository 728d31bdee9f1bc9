package leaseholder

import (
	"context"
	"errors"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// maxAbandonAttempts bounds the attempts after write conflicts of the table.
const maxAbandonAttempts = 8

// ErrStillLeased is returned by Abandon if the holder's lease at the store is
// still valid.
type ErrStillLeased struct {
	Instance ids.Instance
}

// Error implements error.
func (e *ErrStillLeased) Error() string {
	return "instance " + string(e.Instance) + " holds a valid lease at the store"
}

// Abandon frees the seats of a holder whose process an operator knows to have
// ended for good. Peers reclaim such seats by themselves while live instances
// hold a majority of the seats; Abandon is for when that majority is lost. It
// must not be used for a host that is only cut off from the store: that host may
// still serve with its peers' promises. The error is a *seater.ErrTransition, an
// *ErrStillLeased, or that of the store.
func (l *Leaseholder) Abandon(ctx context.Context, holder ids.Instance) error {
	var err error
	for range maxAbandonAttempts {
		err = l.updateTable(ctx, func(t *seater.Table) (*seater.Table, error) { return l.abandonTransition(ctx, t, holder) })
		var conflict *platform.ErrConflict
		if !errors.As(err, &conflict) {
			break // Conflicts are likely: after a loss the other holders write the table too.
		}
	}
	if err == nil {
		logflags.Logger(logflags.Seats).WithField("instance", holder).Warn("seats abandoned by an operator")
	}
	return err
}

// abandonTransition returns the table after the seats of a holder became free.
func (l *Leaseholder) abandonTransition(ctx context.Context, t *seater.Table, holder ids.Instance) (*seater.Table, error) {
	row, ok := t.SeatOf(holder)
	if !ok {
		return nil, &seater.ErrTransition{Transition: "abandon", Reason: string(holder) + " holds no seat"}
	}
	expired, err := l.leaseExpired(ctx, row)
	if err != nil {
		return nil, err
	}
	if !expired {
		return nil, &ErrStillLeased{Instance: holder}
	}
	return t.Abandon(holder, row.Lease)
}
