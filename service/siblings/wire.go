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

// maxDatagram is the maximum size of a received message in bytes.
const maxDatagram = 64 << 10

// message is the content of a datagram. It is encoded as a CBOR array, so the order of
// the fields is part of the protocol.
type message struct {
	_    struct{} `cbor:",toarray"`
	From ids.Instance
	// SentAt is the sender's clock in nanoseconds. EchoSentAt is the SentAt of the last
	// message that the sender received from the recipient, and EchoDelay the
	// nanoseconds since.
	SentAt     int64
	EchoSentAt int64
	EchoDelay  int64
	// Version is the sender's configuration version.
	Version uint64
	// ProofAge is the time in nanoseconds since the store was proved to be no further than
	// Era and Revision; a negative value means never.
	ProofAge int64
	// Era and Revision are the newest position of the store that the sender knows of.
	Era      ids.Era
	Revision ids.StoreRevision
	// Ready means that the sender accepts callers, ReachesTargets that it gets answers from
	// targets.
	Ready, ReachesTargets bool
	// Sections are encoded separately, because the same ones go to many hosts.
	Sections []cbor.RawMessage
	// older is set if the message came in the older form.
	older bool
}

func (m *message) position() ids.Position { return ids.Position{Era: m.Era, Revision: m.Revision} }

// section is the report of one host or the summary of an availability zone. It is
// encoded as a CBOR array.
type section struct {
	_ struct{} `cbor:",toarray"`
	// Zone is the zone of a summary, empty in a report.
	Zone ids.Zone
	// Source is the leader that made the summary, and Age the nanoseconds since.
	Source ids.Instance
	Age    int64
	// Hosts lists the hosts of Zone that Source hears from.
	Hosts      []hostStatus
	InFlight   []inFlight
	Dispatches []dispatch
	Usages     []usage
}

// hostStatus is the status of one host of a zone.
type hostStatus struct {
	_            struct{} `cbor:",toarray"`
	InstanceHash uint32
	// Age is the time since the host was last heard from, in milliseconds.
	Age                   uint32
	Ready, ReachesTargets bool
}

type inFlight struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Count  int
}

type dispatch struct {
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

// instanceHash returns the hash by which summaries identify a host.
func instanceHash(instance ids.Instance) uint32 { return hasher.Sum32(string(instance)) }

// reportSection returns the section of a report.
func reportSection(r *aggregator.Report) *section {
	return &section{InFlight: encodeInFlight(r.InFlight), Dispatches: encodeDispatches(r.Dispatches), Usages: encodeUsages(r.Usages)}
}

// summarySection returns the section of a zone summary.
func summarySection(zone ids.Zone, source ids.Instance, s *aggregator.Summary, dispatches []balancer.Dispatch) *section {
	sec := &section{
		Zone: zone, Source: source, InFlight: encodeInFlight(s.InFlight), Dispatches: encodeDispatches(dispatches),
		Usages: encodeUsages(s.Usages),
	}
	for _, h := range s.Hosts {
		sec.Hosts = append(sec.Hosts, hostStatus{
			InstanceHash: instanceHash(h.Instance), Age: uint32(h.Age.Milliseconds()), Ready: h.Ready, ReachesTargets: h.ReachesTargets,
		})
	}
	return sec
}

func encodeInFlight(all []balancer.InFlight) []inFlight {
	out := make([]inFlight, 0, len(all))
	for _, r := range all {
		out = append(out, inFlight{Target: r.Target, Count: r.Count})
	}
	return out
}

func encodeDispatches(all []balancer.Dispatch) []dispatch {
	out := make([]dispatch, 0, len(all))
	for _, s := range all {
		out = append(out, dispatch{Target: s.Target, Object: uint32(s.Object)})
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

func (s *section) inFlight() []balancer.InFlight {
	out := make([]balancer.InFlight, 0, len(s.InFlight))
	for _, r := range s.InFlight {
		out = append(out, balancer.InFlight{Target: r.Target, Count: r.Count})
	}
	return out
}

func (s *section) dispatches() []balancer.Dispatch {
	out := make([]balancer.Dispatch, 0, len(s.Dispatches))
	for _, d := range s.Dispatches {
		out = append(out, balancer.Dispatch{Target: d.Target, Object: balancer.ObjectHash(d.Object)})
	}
	return out
}

func (s *section) usages() []throttler.Usage {
	out := make([]throttler.Usage, 0, len(s.Usages))
	for _, u := range s.Usages {
		out = append(out, throttler.Usage{Workspace: throttler.WorkspaceHash(u.Workspace), Admitted: u.Admitted, Demand: float64(u.Demand)})
	}
	return out
}

// aliveHosts returns the number of hosts that were heard from within a time.
func (s *section) aliveHosts(within time.Duration) int {
	alive := 0
	for _, h := range s.Hosts {
		if time.Duration(h.Age)*time.Millisecond <= within {
			alive++
		}
	}
	return alive
}
