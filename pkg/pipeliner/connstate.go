package pipeliner

import (
	"sync"
	"sync/atomic"
	"time"
)

// shutdown tells the connections of a server how far its graceful shutdown has come.
type shutdown struct {
	// keepAlivesDisabled is set once a connection is closed by the first response behind
	// which nothing is due.
	keepAlivesDisabled atomic.Bool
	// pipeliningDisabled is set once a request that comes while a response is due does not
	// begin, so that the last one that is due closes the connection.
	pipeliningDisabled atomic.Bool
}

// connState decides which requests of a connection begin, and which response closes it. Both
// are decided under one lock: the response that closes the connection is the last one that is
// due, and no request begins behind it.
type connState struct {
	shutdown *shutdown

	mu sync.Mutex
	// due counts the requests that have begun and whose responses are not written yet, and
	// lastDue is when that was last above 0.
	due     int
	lastDue time.Time
	// incoming is set while a request head is being read, and until its request begins.
	incoming bool
	// closing is set once no further request may begin.
	closing bool
	// writing is set while a response is being written.
	writing bool
	// lingering is set once the connection is closed for writing.
	lingering bool
	// begun counts the requests that have begun, and holds those whose responses may still be
	// broken off.
	begun, holds int
}

// setIncoming takes in that the head of a request is being read, or that it is not any more.
func (s *connState) setIncoming(incoming bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incoming = incoming
}

// admission is the answer to a request that is to begin.
type admission int

const (
	// admitted means that the request has begun, and is due.
	admitted admission = iota
	// delayed means that the request must not begin before the earlier responses are written.
	delayed
	// dropped means that the request must not begin, as an earlier response closes the connection.
	dropped
)

// beginRequest decides whether the incoming request begins. If last is set, no request begins
// behind it. It returns the number of requests that have begun.
func (s *connState) beginRequest(last bool) (a admission, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shutdown.pipeliningDisabled.Load() && s.unstarted() {
		s.closing = true
	}
	switch {
	case s.closing:
		s.incoming = false
		return dropped, s.begun
	case s.holds > 0 && s.due > 0:
		return delayed, s.begun
	}
	s.incoming = false
	s.due++
	s.begun++
	s.closing = last
	return admitted, s.begun
}

// hold keeps further requests from beginning while responses are due, until release. It reports
// whether requests have begun behind the one with a number.
func (s *connState) hold(number int) (behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds++
	return s.begun > number
}

// release ends a hold.
func (s *connState) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds--
}

// unstarted reports whether a response is due whose header can still announce the close.
func (s *connState) unstarted() bool { return s.due > 1 || s.due == 1 && !s.writing }

// beginResponse must be called before the header of a response is written. If stop is set, no
// further request begins. It reports whether this response closes the connection.
func (s *connState) beginResponse(stop bool) (closes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = true
	nothingBehind := s.due == 1 && !s.incoming
	if stop || s.shutdown.pipeliningDisabled.Load() || s.shutdown.keepAlivesDisabled.Load() && nothingBehind {
		s.closing = true
	}
	return s.closing && s.due == 1
}

// endRequest takes in that a response is written, or cannot be.
func (s *connState) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	s.due--
	s.lastDue = time.Now()
}

// close prevents further requests from beginning. It returns false if that was so already.
func (s *connState) close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := !s.closing
	s.closing = true
	return open
}

// closeIfIdle is like close, and does nothing if the connection is in use.
func (s *connState) closeIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due > 0 || s.incoming {
		return false
	}
	s.closing = true
	return true
}

// idleSince returns since when the connection has been idle, and false if it is in use.
func (s *connState) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastDue, s.due == 0 && !s.incoming
}

func (s *connState) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// dueCount returns the number of requests whose responses are not written yet.
func (s *connState) dueCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.due
}

// isBusy reports whether responses are due, or are on their way to a caller that has not closed
// the connection yet.
func (s *connState) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.due > 0 || s.lingering
}
