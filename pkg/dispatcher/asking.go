package dispatcher

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The waits between asks that found nothing.
const (
	firstAskWait = 2 * time.Millisecond
	maxAskWait   = 8 * time.Millisecond
)

// askMore starts as many goroutines that ask for slots as requests wait, within
// the bound. The caller holds mu.
func (l *line) askMore() {
	for l.asks < min(l.queue.Len(), l.d.cfg.MaxAsks) && l.d.ctx.Err() == nil {
		l.asks++
		l.d.asking.Go(l.ask)
	}
}

// ask borrows slots until fewer requests wait than goroutines ask. It also
// serves the queue again when a target that shed may be tried.
func (l *line) ask() {
	wait := firstAskWait
	for {
		if t, ok := l.wanted(); ok && l.d.cfg.Slotter.RequestLoan(l.d.ctx, t) {
			wait = firstAskWait
		} else {
			l.pause(wait)
			wait = min(2*wait, maxAskWait)
		}
		l.serve()
		if l.enough() {
			return
		}
	}
}

// wanted returns the target whose slot is asked for.
func (l *line) wanted() (ids.Target, bool) {
	choice, ok := l.d.cfg.Picker.Pick(l.service, nil, func(ids.Target) bool { return true })
	return choice.Target, ok
}

// pause waits, but not past the end of the dispatcher.
func (l *line) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.d.ctx.Done():
	}
}

// enough ends one goroutine's asking when no waiter is left for it.
func (l *line) enough() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asks <= l.queue.Len() && l.d.ctx.Err() == nil {
		return false
	}
	l.asks--
	return true
}
