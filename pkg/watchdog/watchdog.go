// Package watchdog finds out whether this host has lost its links to all targets. A target
// that fails looks the same to a host as a link that fails, so it takes several targets
// together, tries further ones, and considers whether other hosts get answers.
//
// The caller sets the fields, reports connections and answers, and calls Tick about every
// 100 ms.
package watchdog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// silence is the time without an answer from any target from which on targets that
	// have not answered for as long are suspicious.
	silence = 700 * time.Millisecond
	// suspiciousSilent is the number of such targets, and suspiciousUnreachable the number
	// of targets to which no connection can be opened, from which on links are tried.
	suspiciousSilent      = 3
	suspiciousUnreachable = 2
	// trials is how many targets are tried at a time. If one of them can be reached, the
	// links work.
	trials = 5
	// trialInterval is the time between two trials.
	trialInterval = 300 * time.Millisecond
	// answeredTimeout is the time after the last answer up to which a host tells others
	// that it reaches targets.
	answeredTimeout = 2 * time.Second
)

// Watchdog observes the links of one host to the targets. Its methods are safe for
// concurrent use.
type Watchdog struct {
	// Reach reports whether a connection to the target at an address can be opened.
	Reach func(ctx context.Context, address string) bool
	// OthersReach reports whether another host reaches targets.
	OthersReach func() bool
	// OnChange, if set, is called when the links are found lost or restored.
	OnChange func(cutOff bool)

	mu        sync.Mutex
	addresses []string
	// pending holds the requests that have no answer.
	pending map[uint64]request
	nextID  uint64
	// unreachable holds the addresses to which no connection could be opened since the
	// last one that could.
	unreachable map[string]bool
	lastAnswer  time.Time
	nextTrial   time.Time
	trying      bool
	cutOff      bool
	// lost is closed when the links are found lost.
	lost chan struct{}
}

// request is a request that was sent to a target.
type request struct {
	address string
	sentAt  time.Time
}

// SetTargets replaces the addresses of the targets.
func (w *Watchdog) SetTargets(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses = addresses
}

// Begin records that a request is sent to a target. The returned function must be called
// when it has ended, and tells whether the target answered.
func (w *Watchdog) Begin(address string) func(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		w.pending = make(map[uint64]request)
	}
	id := w.nextID
	w.nextID++
	w.pending[id] = request{address, time.Now()}
	return func(answered bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pending, id)
		if answered {
			w.lastAnswer = time.Now()
		}
	}
}

// RecordConnect records whether a connection to a target could be opened.
func (w *Watchdog) RecordConnect(address string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		clear(w.unreachable)
		return
	}
	if w.unreachable == nil {
		w.unreachable = make(map[string]bool)
	}
	w.unreachable[address] = true
}

// CutOff reports whether this host has lost its links to all targets, while another host has
// not.
func (w *Watchdog) CutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutOff
}

// Suspicious reports whether the links may be lost, so that no conclusion about a single
// target holds.
func (w *Watchdog) Suspicious() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutOff || w.suspicious(time.Now())
}

// Lost returns a channel that is closed when the links are found lost the next time.
func (w *Watchdog) Lost() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lostChannel()
}

// lostChannel returns the channel of Lost. The caller holds the lock.
func (w *Watchdog) lostChannel() chan struct{} {
	if w.lost == nil {
		w.lost = make(chan struct{})
	}
	return w.lost
}

// Reaches reports whether this host gets answers from targets, as far as it can tell.
func (w *Watchdog) Reaches() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return !w.cutOff && now.Sub(w.lastAnswer) < answeredTimeout && !w.suspicious(now)
}

// suspicious reports whether the links may be lost. The caller holds the lock.
func (w *Watchdog) suspicious(now time.Time) bool {
	if len(w.unreachable) >= max(1, min(suspiciousUnreachable, len(w.addresses))) {
		return true
	}
	if now.Sub(w.lastAnswer) < silence {
		return false
	}
	silent := make(map[string]bool)
	for _, r := range w.pending {
		if now.Sub(r.sentAt) >= silence {
			silent[r.address] = true
		}
	}
	return len(silent) >= max(1, min(suspiciousSilent, len(w.addresses)))
}

// Tick tries the links if they are suspicious or lost. Trials go on in the background, until
// ctx ends at the latest.
func (w *Watchdog) Tick(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	due := w.cutOff || w.suspicious(now)
	if !due || w.trying || now.Before(w.nextTrial) {
		return
	}
	w.trying = true
	w.nextTrial = now.Add(trialInterval)
	go w.try(ctx, w.sample())
}

// sample returns some addresses of targets. The caller holds the lock.
func (w *Watchdog) sample() []string {
	var chosen []string
	for _, i := range rand.Perm(len(w.addresses))[:min(trials, len(w.addresses))] {
		chosen = append(chosen, w.addresses[i])
	}
	return chosen
}

// try finds out whether one of the addresses can be reached.
func (w *Watchdog) try(ctx context.Context, addresses []string) {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- w.Reach(ctx, address) }()
	}
	reached := false
	for range addresses {
		if <-results {
			reached = true
			break // the others end by themselves
		}
	}
	w.conclude(reached, w.OthersReach())
}

// conclude takes in the result of a trial. If no host reaches a target, the targets have
// failed and not the links.
func (w *Watchdog) conclude(reached, othersReach bool) {
	w.mu.Lock()
	w.trying = false
	if reached {
		clear(w.unreachable)
		w.lastAnswer = time.Now()
	}
	changed := w.cutOff != (!reached && othersReach)
	w.cutOff = !reached && othersReach
	if changed && w.cutOff {
		close(w.lostChannel())
		w.lost = nil
	}
	cutOff := w.cutOff
	w.mu.Unlock()
	if changed && w.OnChange != nil {
		w.OnChange(cutOff)
	}
}
