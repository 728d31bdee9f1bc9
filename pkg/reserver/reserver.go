// Package reserver bounds the memory that a process uses for many short-lived buffers. A
// caller reserves bytes before it allocates a buffer and releases them when it drops it.
package reserver

import "sync/atomic"

// Reserver hands out parts of a number of bytes. The zero value has no limit, but counts
// what is reserved. Its methods may be called concurrently.
type Reserver struct {
	limit int64
	used  atomic.Int64
}

// New returns a Reserver of limit bytes; 0 means no limit.
func New(limit int64) *Reserver { return &Reserver{limit: limit} }

// Limit returns the limit; 0 means none.
func (r *Reserver) Limit() int64 { return r.limit }

// Reserve reserves n bytes and returns false if n more bytes do not fit. While more than the
// limit is reserved, it returns false for 0 bytes too.
func (r *Reserver) Reserve(n int64) bool {
	for {
		used := r.used.Load()
		if r.limit > 0 && n > r.limit-used {
			return false
		}
		if r.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Overdraw reserves n bytes even if they do not fit, for work that must go on.
func (r *Reserver) Overdraw(n int64) { r.used.Add(n) }

// Release returns n reserved bytes.
func (r *Reserver) Release(n int64) { r.used.Add(-n) }

// Used returns the number of reserved bytes.
func (r *Reserver) Used() int64 { return r.used.Load() }
