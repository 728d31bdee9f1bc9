package gateway

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// maxReadAheadBytes bounds what is read of a long response before its caller takes it.
	maxReadAheadBytes = 1 << 20
	// memoryPollInterval is how often a read-ahead that waits for its caller checks whether
	// the host has memory again. It is well below the seconds after which targets cut off
	// responses that stay unread.
	memoryPollInterval = 200 * time.Millisecond
)

// chunk is a part of a response body.
type chunk struct {
	data [copyBufferBytes]byte
	n    int
}

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// readAhead reads the rest of a long response ahead of its caller, so that the target can
// finish sending it. One goroutine reads the response; the handler calls next, and stop at
// last.
type readAhead struct {
	source io.Reader
	memory *holding
	// maxChunks bounds held.
	maxChunks int
	// onEnd is called at the end of a complete response.
	onEnd func()
	// filled and drained wake the handler and the reading goroutine.
	filled, drained chan struct{}
	stopped         chan struct{}

	mu sync.Mutex
	// held counts the chunks in use: the one that is being read, those in queue, and
	// current, which the handler is writing.
	held    int
	queue   []*chunk
	current *chunk
	err     error
}

// readAhead starts to read the rest of a response. Without a limit on the host's memory it
// reads one chunk at a time.
func (q *request) readAhead(res *result) *readAhead {
	a := &readAhead{
		source: res.resp.Body, memory: &q.memory, maxChunks: 1, onEnd: func() {},
		filled: make(chan struct{}, 1), drained: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
	if q.h.cfg.Memory.Limit() > 0 {
		a.maxChunks = maxReadAheadBytes / copyBufferBytes
	}
	if res.release != nil {
		a.onEnd = res.release // the target is free, though the caller may still read
	}
	go a.run()
	return a
}

// run reads the response until its end, an error, or stop.
func (a *readAhead) run() {
	var c *chunk
	defer func() {
		if c != nil {
			a.drop(c)
		}
	}()
	for {
		if c == nil {
			if c = a.waitForChunk(); c == nil {
				return
			}
		}
		n, err := a.source.Read(c.data[:])
		if c.n = n; a.add(c, err) {
			c = nil
		}
		if errors.Is(err, io.EOF) {
			a.onEnd()
		}
		if err != nil {
			return
		}
	}
}

// waitForChunk returns a chunk to read into, or nil after stop.
func (a *readAhead) waitForChunk() *chunk {
	for {
		if c := a.newChunk(); c != nil {
			return c
		}
		select {
		case <-a.drained:
		case <-time.After(memoryPollInterval):
		case <-a.stopped:
			return nil
		}
	}
}

// newChunk returns a chunk, or nil if there is no memory for it. One chunk is always
// available, as the response must reach its caller.
func (a *readAhead) newChunk() *chunk {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.isStopped():
		return nil
	case a.held == 0:
		a.memory.overdraw(copyBufferBytes)
	case a.held >= a.maxChunks || !a.memory.reserveAhead(copyBufferBytes):
		return nil
	}
	a.held++
	c, _ := chunks.Get().(*chunk)
	return c
}

func (a *readAhead) isStopped() bool {
	select {
	case <-a.stopped:
		return true
	default:
		return false
	}
}

// add takes in the result of a read into c. It returns false if c can be used again, as its
// content fits into the chunk before.
func (a *readAhead) add(c *chunk, err error) (queued bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
	if !a.isStopped() && c.n > 0 && !a.appendToLast(c) {
		a.queue = append(a.queue, c)
		queued = true
	}
	wake(a.filled)
	return queued
}

// appendToLast copies the content of c to the last chunk in the queue, if it fits. The caller
// holds mu.
func (a *readAhead) appendToLast(c *chunk) bool {
	if len(a.queue) == 0 {
		return false
	}
	last := a.queue[len(a.queue)-1]
	if last.n+c.n > len(last.data) {
		return false
	}
	last.n += copy(last.data[last.n:], c.data[:c.n])
	return true
}

// drop makes the memory of a chunk available.
func (a *readAhead) drop(c *chunk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropLocked(c)
}

// dropLocked is drop for a caller that holds mu.
func (a *readAhead) dropLocked(c *chunk) {
	chunks.Put(c)
	a.held--
	a.memory.release(copyBufferBytes)
	wake(a.drained)
}

// next returns the next part of the response, which is valid until the following call. The
// error is io.EOF only after the whole response. After any other error, what was read before
// is not returned, as the response cannot be completed.
func (a *readAhead) next() ([]byte, error) {
	for {
		if part, err := a.take(); part != nil || err != nil {
			return part, err
		}
		<-a.filled
	}
}

// take is next without waiting; it returns nothing if nothing was read.
func (a *readAhead) take() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil {
		a.dropLocked(a.current)
		a.current = nil
	}
	if len(a.queue) == 0 || (a.err != nil && !errors.Is(a.err, io.EOF)) {
		return nil, a.err
	}
	a.current, a.queue = a.queue[0], a.queue[1:]
	return a.current.data[:a.current.n], nil
}

// stop drops what was read and ends the reading goroutine, after a read that is in progress.
// The body of the response must be closed before, which ends that read.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.stopped)
	if a.current != nil {
		a.queue = append(a.queue, a.current)
	}
	for _, c := range a.queue {
		a.dropLocked(c)
	}
	a.current, a.queue = nil, nil
}

// wake sends a signal to a channel with room for one.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// copyRest copies the rest of a long response body to the caller.
func (q *request) copyRest(rest *readAhead) error {
	for {
		part, err := rest.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := q.w.Write(part); err != nil {
			return err
		}
	}
}
