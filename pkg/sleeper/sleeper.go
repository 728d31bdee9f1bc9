// Package sleeper provides a sleep that ends early when a context does.
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
