package deduplicator

import (
	"time"
)

// Oldest returns the first epoch that is not retired.
func (r *Deduplicator) OldestEpoch() uint64 { return r.oldest.Load() }

// retireExpired retires the epochs whose time to be kept is over.
func (r *Deduplicator) retireExpired() {
	if !r.endsBefore(r.oldest.Load(), r.cfg.Retention) {
		return
	}
	r.retireMu.Lock()
	defer r.retireMu.Unlock()
	for r.endsBefore(r.oldest.Load(), r.cfg.Retention) {
		r.retireOldest()
	}
}

// makeRoom retires epochs early until need bytes fit. It refuses when that
// would break MinKeep.
func (r *Deduplicator) makeRoom(need int64) error {
	if r.bytes.Load()+need <= r.cfg.MaxBytes {
		return nil
	}
	r.retireMu.Lock()
	defer r.retireMu.Unlock()
	for r.bytes.Load()+need > r.cfg.MaxBytes {
		oldest := r.oldest.Load()
		if !r.endsBefore(oldest, r.cfg.MinRetention) {
			return full(time.Until(r.end(oldest).Add(r.cfg.MinRetention)))
		}
		r.retireOldest()
	}
	return nil
}

// endsBefore reports whether the epoch ended at least the given time ago.
func (r *Deduplicator) endsBefore(epoch uint64, ago time.Duration) bool {
	return time.Since(r.end(epoch)) >= ago
}

// end returns the time at which look-ups stop giving the epoch's prefix.
func (r *Deduplicator) end(epoch uint64) time.Time {
	return r.start.Add(time.Duration(epoch) * r.cfg.EpochLength)
}

// retireOldest forgets the oldest epoch. The caller holds retireMu. The epoch
// counts as retired before the first outcome goes, so none of its keys can
// come back.
func (r *Deduplicator) retireOldest() {
	epoch := r.oldest.Add(1) - 1
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.epochs[epoch] {
			r.bytes.Add(-e.bytes)
		}
		delete(s.epochs, epoch)
		s.mu.Unlock()
	}
}
