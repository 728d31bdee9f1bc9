// Package spooler writes log lines in the background, so that no part of the
// program waits for whoever reads them. Lines that find no room are counted and
// dropped.
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBytes bounds what waits to be written.
	maxBytes = 1 << 20
	// flushInterval is how long a line may wait.
	flushInterval = 100 * time.Millisecond
)

// Spooler is an io.Writer that never blocks. New makes one.
type Spooler struct {
	out  io.Writer
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buf     bytes.Buffer
	dropped int64
	told    int64
}

// New returns a Spooler that writes to out until Close.
func New(out io.Writer) *Spooler {
	s := &Spooler{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It keeps p, or counts it as dropped.
func (s *Spooler) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.buf.Len()+len(p) > maxBytes {
		s.dropped++
	} else {
		s.buf.Write(p)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped returns the number of lines that found no room.
func (s *Spooler) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes what is left and ends the Spooler.
func (s *Spooler) Close() {
	close(s.stop)
	<-s.done
}

func (s *Spooler) run() {
	defer close(s.done)
	for {
		select {
		case <-s.wake:
		case <-s.stop:
			s.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-s.stop:
		}
		s.flush()
	}
}

func (s *Spooler) flush() {
	s.mu.Lock()
	text := bytes.Clone(s.buf.Bytes())
	s.buf.Reset()
	lost := s.dropped - s.told
	s.told = s.dropped
	s.mu.Unlock()
	if lost > 0 {
		text = fmt.Appendf(text, "level=warn msg=\"log lines dropped\" count=%d\n", lost)
	}
	if len(text) > 0 {
		_, _ = s.out.Write(text) // There is nowhere to tell that logs fail.
	}
}
