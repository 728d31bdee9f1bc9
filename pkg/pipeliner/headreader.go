package pipeliner

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"
)

// headReader bounds the bytes and the lines that are read for one request head. If remaining
// is negative, there is no bound.
type headReader struct {
	r                io.Reader
	remaining, lines int
	// heads has room for the heads that may exceed the read buffer at once, and holds is set
	// while this one takes up room. The wait for room ends at deadline.
	heads    chan struct{}
	holds    bool
	deadline time.Time
	read     int
}

// errHeadTooLarge is returned by headReader when the bound is reached.
var errHeadTooLarge = errors.New("the request head is too large")

// begin bounds the head that is read next, until end.
func (l *headReader) begin(maxBytes int, deadline time.Time) {
	l.remaining, l.lines, l.read, l.deadline = maxBytes, maxHeadLines, 0, deadline
}

// waitForRoom returns an error if there is no room for a large head until the deadline.
func (l *headReader) waitForRoom() error {
	t := time.NewTimer(time.Until(l.deadline))
	defer t.Stop()
	select {
	case l.heads <- struct{}{}:
		l.holds = true
		return nil
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

func (l *headReader) end() {
	l.remaining = -1
	if l.holds {
		<-l.heads
		l.holds = false
	}
}

// Read implements io.Reader.
func (l *headReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.r.Read(p)
	}
	if l.remaining == 0 || l.lines <= 0 {
		return 0, errHeadTooLarge
	}
	if l.read >= bufferBytes && !l.holds {
		if err := l.waitForRoom(); err != nil {
			return 0, err
		}
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.read += n
	l.lines -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
