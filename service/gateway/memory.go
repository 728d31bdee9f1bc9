package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/reserver"
)

const (
	// maxTargetBodyBytes bounds the request bodies that this host has in flight at one
	// target address: a target crashes if the requests that it holds exceed its memory.
	maxTargetBodyBytes = 16 << 20
	// unknownBodyBytes is what a request body of unknown length counts as.
	unknownBodyBytes = maxReplayBytes
	// Read-ahead stops while readAheadParts of readAheadDivisor parts of the host's bytes are
	// reserved. Otherwise a few slow callers could keep all requests with bodies out.
	readAheadParts, readAheadDivisor = 3, 4
	// firstBufferBytes is the size of the first buffer for a response body.
	firstBufferBytes = 512
	// Callers that are rejected for lack of memory return after minRetryAfterNoMemory plus
	// a random part of retryAfterNoMemorySpread, so that they do not return together.
	minRetryAfterNoMemory    = 200 * time.Millisecond
	retryAfterNoMemorySpread = 400 * time.Millisecond
	// Callers honour Retry-After up to their remaining time divided by retryAfterDivisor.
	retryAfterDivisor = 3
)

// reasonNoMemory is the reason of requests for which this host has no memory, and
// reasonTargetFull that of attempts at a target that has too many body bytes in flight.
const (
	reasonNoMemory   = "noMemory"
	reasonTargetFull = "targetFull"
)

// holding is what one request has reserved of the host's bytes. Its methods may be called
// concurrently, also after end, when they do nothing.
type holding struct {
	host *reserver.Reserver

	mu    sync.Mutex
	bytes int64
	ended bool
}

// reserve reserves n bytes and returns false if they do not fit.
func (h *holding) reserve(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.host.Reserve(n) {
		return false
	}
	h.bytes += n
	return true
}

// reserveAhead is reserve for what is read ahead, which leaves the rest of the host's bytes to
// other uses. It may exceed its share by the reservations of concurrent calls.
func (h *holding) reserveAhead(n int64) bool {
	if limit := h.host.Limit(); limit > 0 && h.host.Used()+n > limit/readAheadDivisor*readAheadParts {
		return false
	}
	return h.reserve(n)
}

// overdraw reserves n bytes even if they do not fit.
func (h *holding) overdraw(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.host.Overdraw(n)
		h.bytes += n
	}
}

// release releases n bytes.
func (h *holding) release(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.host.Release(n)
		h.bytes -= n
	}
}

// end releases everything.
func (h *holding) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.host.Release(h.bytes)
		h.bytes, h.ended = 0, true
	}
}

// bodyBytes returns the length of the request's body, or unknownBodyBytes.
func (q *request) bodyBytes() int64 {
	switch {
	case !q.hasBody():
		return 0
	case q.r.ContentLength < 0:
		return unknownBodyBytes
	default:
		return q.r.ContentLength
	}
}

// reserveBody reserves what is kept of the request's body. If it returns no rejection,
// q.memory.end must be called.
func (q *request) reserveBody() *rejection {
	q.memory.host = q.h.cfg.Memory
	if q.memory.reserve(min(q.bodyBytes(), maxReplayBytes)) {
		return nil
	}
	wait := minRetryAfterNoMemory + rand.N(retryAfterNoMemorySpread) //nolint:gosec // not a secret
	return &rejection{http.StatusServiceUnavailable, reasonNoMemory, min(wait, q.record.Timeout/retryAfterDivisor)}
}

// targetBodies counts the bytes of request bodies in flight at each target address. The zero
// value is ready for use, and its methods may be called concurrently.
type targetBodies struct {
	mu sync.Mutex
	// byAddress has no entries of 0 bytes.
	byAddress map[string]int64
}

// reserve adds a body of n > 0 bytes and returns false if it does not fit. The only body at
// an address always fits.
func (t *targetBodies) reserve(address string, n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := t.byAddress[address]
	if used > 0 && n > maxTargetBodyBytes-used {
		return false
	}
	if t.byAddress == nil {
		t.byAddress = make(map[string]int64)
	}
	t.byAddress[address] = used + n
	return true
}

// release removes a body that was added.
func (t *targetBodies) release(address string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress[address] -= n; t.byAddress[address] == 0 {
		delete(t.byAddress, address)
	}
}

// reserveTarget reserves room for the request's body at a target. It returns false if there
// is none. Without a limit on the host's memory, there is always room.
func (q *request) reserveTarget(c *balancer.Choice) (release func(), ok bool) {
	n := q.bodyBytes()
	if n == 0 || q.h.cfg.Memory.Limit() == 0 {
		return func() {}, true
	}
	if !q.h.targetBodies.reserve(c.Address, n) {
		return nil, false
	}
	return func() { q.h.targetBodies.release(c.Address, n) }, true
}

// passOver records an attempt at a target that has no room for the request's body. Nothing
// is sent.
func (q *request) passOver(c *balancer.Choice) *result {
	c.Done(balancer.Result{})
	q.record.Attempts = append(q.record.Attempts, Attempt{
		Target: c.Target, Zone: c.Zone, Region: c.Region, Warm: c.Warm, Backlog: c.Backlog,
		Expected: expectedTime(c), Result: reasonTargetFull,
	})
	return &result{notRun: true, reason: reasonTargetFull}
}

// passedOver reports whether nothing was sent to the last target. The next attempt takes the
// place of that send, and is no retry.
func (p *progress) passedOver() bool { return p.last != nil && p.last.reason == reasonTargetFull }

// bufferBody reads the body of a response into res.body. It returns more if it stops before
// the end of the body, after limit bytes or as the host has no memory for more.
func (q *request) bufferBody(res *result, limit int) (more bool, err error) {
	for {
		if len(res.body) == cap(res.body) && !q.growBuffer(res, limit) {
			return true, nil
		}
		n, err := res.resp.Body.Read(res.body[len(res.body):cap(res.body)])
		res.body = res.body[:len(res.body)+n]
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// growBuffer makes room for at least one more byte in res.body. It returns false if that
// has room for more than limit bytes, or the host has no memory for more.
func (q *request) growBuffer(res *result, limit int) bool {
	// One byte more than limit shows whether a body of that length has ended.
	size := min(max(2*cap(res.body), firstBufferBytes), limit+1)
	added := int64(size - cap(res.body))
	if added == 0 || !q.memory.reserve(added) {
		return false
	}
	grown := make([]byte, len(res.body), size)
	copy(grown, res.body)
	res.body = grown
	return true
}

// dropBody drops what is buffered of a response body.
func (q *request) dropBody(res *result) {
	q.memory.release(int64(cap(res.body)))
	res.body = nil
}
