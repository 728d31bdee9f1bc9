package leaseholder

import (
	"context"
	"errors"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// abandonTries bounds the tries against other writers of the table.
const abandonTries = 8

// ErrStillLeased says that the store shows a valid lease of a holder, so that
// its seats cannot be abandoned.
type ErrStillLeased struct {
	Instance ids.Instance
}

// Error names the holder.
func (e *ErrStillLeased) Error() string {
	return "instance " + string(e.Instance) + " holds a valid lease at the store"
}

// Abandon frees the seats of a holder whose process has ended for good, as an
// operator states. Peers reclaim such seats by themselves while a majority of
// the seats is held; Abandon is for the loss of more than that at once. It must
// not be used for a host that is cut off from the store: that one may still
// serve through its peers. Its error is a *seater.ErrStep, *ErrStillLeased, or
// that of the store.
func (k *Leaseholder) Abandon(ctx context.Context, silent ids.Instance) error {
	var err error
	for range abandonTries {
		err = k.change(ctx, func(t *seater.Table) (*seater.Table, error) { return k.abandoned(ctx, t, silent) })
		var conflict *platform.ErrConflict
		if !errors.As(err, &conflict) {
			break // Other holders write the table too, most of all after a loss.
		}
	}
	if err == nil {
		logflags.Logger(logflags.Seats).WithField("instance", silent).Warn("seats abandoned by an operator")
	}
	return err
}

// abandoned returns the table without the silent holder.
func (k *Leaseholder) abandoned(ctx context.Context, t *seater.Table, silent ids.Instance) (*seater.Table, error) {
	row, ok := t.SeatOf(silent)
	if !ok {
		return nil, &seater.ErrTransition{Transition: "abandon", Reason: string(silent) + " holds no seat"}
	}
	lapsed, err := k.lapsed(ctx, row)
	if err != nil {
		return nil, err
	}
	if !lapsed {
		return nil, &ErrStillLeased{Instance: silent}
	}
	return t.Abandon(silent, row.Lease)
}
