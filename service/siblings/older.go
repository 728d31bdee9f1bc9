package siblings

import (
	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Hosts of older builds encode messages without ReachesTargets, and understand no others. They
// are spoken to in their form from the first message on that is heard from them.

// olderMessage is the older form of a message.
type olderMessage struct {
	_          struct{} `cbor:",toarray"`
	From       ids.Instance
	SentAt     int64
	EchoSentAt int64
	EchoDelay  int64
	Version    uint64
	// ConfirmationAge is the age of another proof than ProofAge: that Version is the newest.
	// Neither is taken for the other one.
	ConfirmationAge int64
	Era             ids.Era
	Revision        ids.StoreRevision
	Ready           bool
	Sections        []cbor.RawMessage
}

// olderMessageFields is the number of fields of an olderMessage.
const olderMessageFields = 10

// olderSection is the older form of a section.
type olderSection struct {
	_          struct{} `cbor:",toarray"`
	Zone       ids.Zone
	Source     ids.Instance
	Age        int64
	Hosts      []olderHostStatus
	InFlight   []inFlight
	Dispatches []dispatch
	Usages     []usage
}

// olderHostStatus is the older form of a hostStatus.
type olderHostStatus struct {
	_            struct{} `cbor:",toarray"`
	InstanceHash uint32
	Age          uint32
	Ready        bool
}

// isOlder reports whether an encoded message has the older form.
func isOlder(data []byte) bool {
	const arrayOfFew = 0x80 // the head of a CBOR array of less than 24 elements
	return len(data) > 0 && data[0] == arrayOfFew|olderMessageFields
}

// decodeMessage decodes a message of either form.
func decodeMessage(data []byte) (*message, error) {
	if !isOlder(data) {
		var m message
		return &m, cbor.Unmarshal(data, &m)
	}
	var o olderMessage
	if err := cbor.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	return &message{
		From: o.From, SentAt: o.SentAt, EchoSentAt: o.EchoSentAt, EchoDelay: o.EchoDelay, Version: o.Version, ProofAge: -1,
		Era: o.Era, Revision: o.Revision, Ready: o.Ready, Sections: o.Sections, older: true,
	}, nil
}

// encodeOlder encodes a message in the older form.
func encodeOlder(m *message) ([]byte, error) {
	o := olderMessage{
		From: m.From, SentAt: m.SentAt, EchoSentAt: m.EchoSentAt, EchoDelay: m.EchoDelay, Version: m.Version, ConfirmationAge: -1,
		Era: m.Era, Revision: m.Revision, Ready: m.Ready,
	}
	for _, data := range m.Sections {
		section, err := encodeOlderSection(data)
		if err != nil {
			return nil, err
		}
		o.Sections = append(o.Sections, section)
	}
	return cbor.Marshal(&o)
}

// encodeOlderSection returns the older form of an encoded section.
func encodeOlderSection(data cbor.RawMessage) (cbor.RawMessage, error) {
	if isObservations(data) {
		return data, nil
	}
	var s section
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	o := olderSection{
		Zone: s.Zone, Source: s.Source, Age: s.Age, InFlight: s.InFlight, Dispatches: s.Dispatches, Usages: s.Usages,
	}
	for _, h := range s.Hosts {
		o.Hosts = append(o.Hosts, olderHostStatus{InstanceHash: h.InstanceHash, Age: h.Age, Ready: h.Ready})
	}
	return cbor.Marshal(&o)
}

// decodeSection decodes a section of a message.
func (m *message) decodeSection(data cbor.RawMessage) (*section, error) {
	if !m.older {
		var s section
		return &s, cbor.Unmarshal(data, &s)
	}
	var o olderSection
	if err := cbor.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	s := &section{Zone: o.Zone, Source: o.Source, Age: o.Age, InFlight: o.InFlight, Dispatches: o.Dispatches, Usages: o.Usages}
	for _, h := range o.Hosts {
		s.Hosts = append(s.Hosts, hostStatus{InstanceHash: h.InstanceHash, Age: h.Age, Ready: h.Ready})
	}
	return s, nil
}
