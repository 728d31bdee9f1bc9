package pipeliner

import (
	"net/http"
	"time"
)

const (
	// firstProbeDelay is the time between the first two probes of a caller that closed
	// its side for writing; it must exceed a round trip. probeInterval is the time
	// between later ones.
	firstProbeDelay = 30 * time.Millisecond
	probeInterval   = 150 * time.Millisecond
)

// continueResponse is an interim response, which every HTTP/1.1 client must accept
// before the final one.
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// serveHalfClosed waits until the due responses are written, for a caller that closed
// its side for writing. A caller that closed both sides looks the same until something
// is written to it, upon which its host resets the connection. So serveHalfClosed
// writes interim responses as probes, and returns as soon as one of them fails. Callers
// whose HTTP version has no interim responses are not probed.
func (c *conn) serveHalfClosed(turn <-chan struct{}) {
	if c.noInterim {
		c.waitFor(turn)
		return
	}
	t := time.NewTimer(firstProbeDelay)
	defer t.Stop()
	for c.probe() {
		select {
		case <-turn:
			return
		case <-c.ctx.Done():
			return
		case <-t.C:
			t.Reset(probeInterval)
		}
	}
}

// probe writes an interim response, unless a response is being written, whose writes
// fail just as well. It reports whether the caller may still be connected.
func (c *conn) probe() bool {
	_, err := c.writeInterim()
	return err == nil
}

// writeInterim writes an interim response if a response is due and none is being written.
func (c *conn) writeInterim() (written bool, err error) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.writing || c.state.due == 0 {
		return false, nil
	}
	c.extendWriteDeadline()
	_, err = c.nc.Write(continueResponse)
	return true, err
}

// acceptsInterim reports whether a caller accepts interim responses.
func acceptsInterim(r *http.Request) bool { return r.ProtoAtLeast(1, 1) }
