package deduplicator

import (
	"time"
)

// OldestEpoch returns the oldest epoch that is not retired.
func (d *Deduplicator) OldestEpoch() uint64 { return d.oldest.Load() }

// retireExpired retires the epochs that ended at least Config.Retention ago.
func (d *Deduplicator) retireExpired() {
	if !d.endedFor(d.oldest.Load(), d.cfg.Retention) {
		return
	}
	d.retireMu.Lock()
	defer d.retireMu.Unlock()
	for d.endedFor(d.oldest.Load(), d.cfg.Retention) {
		d.retireOldest()
	}
}

// makeRoom retires epochs early until size bytes fit. It returns a refusal if that
// would retire an epoch within Config.MinRetention after its end.
func (d *Deduplicator) makeRoom(size int64) error {
	if d.bytes.Load()+size <= d.cfg.MaxBytes {
		return nil
	}
	d.retireMu.Lock()
	defer d.retireMu.Unlock()
	for d.bytes.Load()+size > d.cfg.MaxBytes {
		oldest := d.oldest.Load()
		if !d.endedFor(oldest, d.cfg.MinRetention) {
			return memoryFull(time.Until(d.epochEnd(oldest).Add(d.cfg.MinRetention)))
		}
		d.retireOldest()
	}
	return nil
}

// endedFor reports whether the epoch ended at least age ago.
func (d *Deduplicator) endedFor(epoch uint64, age time.Duration) bool {
	return time.Since(d.epochEnd(epoch)) >= age
}

// epochEnd returns the time at which look-ups stop returning the epoch's prefix.
func (d *Deduplicator) epochEnd(epoch uint64) time.Time {
	return d.start.Add(time.Duration(epoch) * d.cfg.EpochLength)
}

// retireOldest deletes the outcomes of the oldest epoch. The epoch is marked as
// retired before the first outcome is deleted, so that none of its keys can run
// again. The caller holds retireMu.
func (d *Deduplicator) retireOldest() {
	epoch := d.oldest.Add(1) - 1
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for _, e := range s.epochs[epoch] {
			d.bytes.Add(-e.bytes)
		}
		delete(s.epochs, epoch)
		s.mu.Unlock()
	}
}
