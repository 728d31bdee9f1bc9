// Package sleeper waits for a time that can be cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d or when ctx ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
