package leaseholder

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// watchHead follows the stored configuration between renewals.
func (k *Leaseholder) watchHead(ctx context.Context) { k.watch(ctx, roller.HeadKey, k.applyHead) }

// watchSeats follows the stored seat table between renewals.
func (k *Leaseholder) watchSeats(ctx context.Context) {
	k.watch(ctx, roller.SeatsKey, func(_ context.Context, e platform.Entry) error { return k.applyTable(e) })
}

func (k *Leaseholder) watch(ctx context.Context, key string, apply func(context.Context, platform.Entry) error) {
	for ctx.Err() == nil {
		k.mu.Lock()
		after := k.versions[key]
		k.mu.Unlock()
		e, err := k.cfg.Store.Watch(ctx, key, after)
		if err == nil {
			err = apply(ctx, e)
		}
		if err != nil && ctx.Err() == nil {
			logflags.Logger(logflags.Platform).WithField("key", key).WithField("err", err).Warn("watch failed")
			pause(ctx, watchRetry, nil)
		}
	}
}
