package leaseholder

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// watchHead applies changes of the stored configuration between renewals.
func (l *Leaseholder) watchHead(ctx context.Context) { l.watch(ctx, roller.HeadKey, l.applyHead) }

// watchSeats applies changes of the stored seat table between renewals.
func (l *Leaseholder) watchSeats(ctx context.Context) {
	l.watch(ctx, roller.SeatsKey, func(_ context.Context, e platform.Entry) error { return l.applyTable(e) })
}

func (l *Leaseholder) watch(ctx context.Context, key string, apply func(context.Context, platform.Entry) error) {
	for ctx.Err() == nil {
		l.mu.Lock()
		after := l.versions[key]
		l.mu.Unlock()
		e, err := l.cfg.Store.Watch(ctx, key, after)
		if err == nil {
			err = apply(ctx, e)
		}
		if err != nil && ctx.Err() == nil {
			logflags.Logger(logflags.Platform).WithField("key", key).WithField("err", err).Warn("watching a store key failed; retrying")
			pause(ctx, watchRetryDelay, nil)
		}
	}
}
