package siblings

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// maxDatagram is the longest message that is read.
const maxDatagram = 64 << 10

// message is one datagram.
type message struct {
	_    struct{} `cbor:",toarray"`
	From ids.Instance
	// Sent is the sender's clock in nanoseconds. Echo is the recipient's Sent
	// that came last, and Held the time since.
	Sent int64
	Echo int64
	Held int64
	// Version is the sender's configuration, known to be the newest Age ago, in
	// nanoseconds; a negative Age means never.
	Version uint64
	Age     int64
	// Era and Revision are how far the sender has followed the store.
	Era      ids.Era
	Revision ids.StoreRevision
	// Ready says that the sender takes callers.
	Ready bool
	// News are encoded one by one, as the same go to many hosts.
	News []cbor.RawMessage
}

func (m *message) position() ids.Position { return ids.Position{Era: m.Era, Revision: m.Revision} }

// news is what is told of one host, or of all hosts of an availability zone.
type news struct {
	_ struct{} `cbor:",toarray"`
	// Zone is empty where the sender tells of itself alone.
	Zone ids.Zone
	// Source is who made the sum for Zone, and Age the time since in nanoseconds.
	Source ids.Instance
	Age    int64
	// Hosts are those of Zone that Source hears of.
	Hosts   []hostWord
	Running []running
	Starts  []start
	Usages  []usage
}

// hostWord tells of one host of a zone.
type hostWord struct {
	_    struct{} `cbor:",toarray"`
	Host uint32
	// Age is the time since the host was heard, in milliseconds.
	Age   uint32
	Ready bool
}

type running struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Count  int
}

type start struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Object uint32
}

type usage struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Admitted  uint64
	Demand    uint32
}

// shortName returns the name under which a host is listed in sums.
func shortName(instance ids.Instance) uint32 { return hasher.Sum32(string(instance)) }

// reportNews returns the news of one host.
func reportNews(r *aggregator.Report) *news {
	return &news{Running: encodeRunning(r.InFlight), Starts: encodeStarts(r.Dispatches), Usages: encodeUsages(r.Usages)}
}

// sumNews returns the news of a zone.
func sumNews(zone ids.Zone, source ids.Instance, s *aggregator.Summary, starts []balancer.Dispatch) *news {
	n := &news{
		Zone: zone, Source: source, Running: encodeRunning(s.InFlight), Starts: encodeStarts(starts),
		Usages: encodeUsages(s.Usages),
	}
	for _, h := range s.Hosts {
		n.Hosts = append(n.Hosts, hostWord{Host: shortName(h.Instance), Age: uint32(h.Age.Milliseconds()), Ready: h.Ready})
	}
	return n
}

func encodeRunning(all []balancer.InFlight) []running {
	out := make([]running, 0, len(all))
	for _, r := range all {
		out = append(out, running{Target: r.Target, Count: r.Count})
	}
	return out
}

func encodeStarts(all []balancer.Dispatch) []start {
	out := make([]start, 0, len(all))
	for _, s := range all {
		out = append(out, start{Target: s.Target, Object: uint32(s.Object)})
	}
	return out
}

func encodeUsages(all []throttler.Usage) []usage {
	out := make([]usage, 0, len(all))
	for _, u := range all {
		out = append(out, usage{Workspace: uint32(u.Workspace), Admitted: u.Admitted, Demand: uint32(u.Demand + 0.5)})
	}
	return out
}

func (n *news) running() []balancer.InFlight {
	out := make([]balancer.InFlight, 0, len(n.Running))
	for _, r := range n.Running {
		out = append(out, balancer.InFlight{Target: r.Target, Count: r.Count})
	}
	return out
}

func (n *news) starts() []balancer.Dispatch {
	out := make([]balancer.Dispatch, 0, len(n.Starts))
	for _, s := range n.Starts {
		out = append(out, balancer.Dispatch{Target: s.Target, Object: balancer.ObjectHash(s.Object)})
	}
	return out
}

func (n *news) usages() []throttler.Usage {
	out := make([]throttler.Usage, 0, len(n.Usages))
	for _, u := range n.Usages {
		out = append(out, throttler.Usage{Workspace: throttler.WorkspaceHash(u.Workspace), Admitted: u.Admitted, Demand: float64(u.Demand)})
	}
	return out
}

// living counts the hosts that were heard within a time.
func (n *news) living(within time.Duration) int {
	living := 0
	for _, h := range n.Hosts {
		if time.Duration(h.Age)*time.Millisecond <= within {
			living++
		}
	}
	return living
}
