// Package spooler writes log lines in the background, so that the program never
// waits for a slow log output. Lines that exceed the buffer are dropped and
// counted. Callers create a Spooler with New, write one line per Write, and end
// it with Close.
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the bytes waiting to be written.
	maxBufferedBytes = 1 << 20
	// flushInterval is how long lines are collected into one write.
	flushInterval = 100 * time.Millisecond
)

// Spooler is an io.Writer that never blocks. It must be created with New.
type Spooler struct {
	out  io.Writer
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu            sync.Mutex
	buf           bytes.Buffer
	dropped       int64
	reportedDrops int64
}

// New returns a Spooler that writes to out until Close.
func New(out io.Writer) *Spooler {
	s := &Spooler{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It buffers p, or drops it if the buffer is full. It
// never returns an error.
func (s *Spooler) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.buf.Len()+len(p) > maxBufferedBytes {
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

// Dropped returns the number of lines dropped so far.
func (s *Spooler) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the buffered lines, waiting for the output, and stops the Spooler.
// It may be called once.
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
	newDrops := s.dropped - s.reportedDrops
	s.reportedDrops = s.dropped
	s.mu.Unlock()
	if newDrops > 0 {
		text = fmt.Appendf(text, "level=warn msg=\"log lines dropped\" count=%d\n", newDrops)
	}
	if len(text) > 0 {
		_, _ = s.out.Write(text) // Nothing can be logged about a failing log output.
	}
}
