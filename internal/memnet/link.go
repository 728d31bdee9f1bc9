package memnet

import "time"

// Bandwidth is the capacity of a host's link in each direction, in bytes per second. Zero
// means unlimited.
type Bandwidth float64

// Mbps returns the Bandwidth of n megabits per second.
func Mbps(n float64) Bandwidth { return Bandwidth(n * 1e6 / 8) }

// transmission returns how long a number of bytes occupies a link.
func (b Bandwidth) transmission(bytes int) time.Duration {
	if b == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(b) * float64(time.Second))
}

// handshakeBytes is the size of a packet that opens a connection.
const handshakeBytes = 60

// queues holds, for each host, until when its link is occupied by what was sent before.
type queues map[string]time.Time

// enqueue occupies a host's link with a number of bytes from at on, and returns when they
// have passed it.
func (q queues) enqueue(host string, b Bandwidth, bytes int, at time.Time) time.Time {
	if b == 0 {
		return at
	}
	if until := q[host]; until.After(at) {
		at = until
	}
	at = at.Add(b.transmission(bytes))
	q[host] = at
	return at
}

// SetBandwidth sets the capacities of the hosts' links: bandwidth returns that of the host
// at an IP address.
func (n *Network) SetBandwidth(bandwidth func(host string) Bandwidth) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidth, n.outgoing, n.incoming = bandwidth, make(queues), make(queues)
}

// arrival returns when a number of bytes that one host sends to another one now arrive, if
// the link is not cut. They wait behind what passes the links of both hosts before them.
func (n *Network) arrival(from, to string, bytes int) time.Time {
	at, delay := time.Now(), n.delay(from, to)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bandwidth == nil {
		return at.Add(delay)
	}
	at = n.outgoing.enqueue(from, n.bandwidth(from), bytes, at).Add(delay)
	return n.incoming.enqueue(to, n.bandwidth(to), bytes, at)
}
