package operators

import (
	"fmt"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// HeaderRevision is the header field with the revision of the document in a
// response.
const HeaderRevision = "Gypsum-Revision"

// Codes of refused requests. They are stable.
const (
	CodeFaults          = "documentFaults"
	CodeConflict        = "revisionConflict"
	CodeNotStored       = "notStored"
	CodeUnresolved      = "unresolved"
	CodeBaseMissing     = "baseRevisionMissing"
	CodeNoConfiguration = "noConfiguration"
	CodeTooLarge        = "documentTooLarge"
	CodeBadRequest      = "badRequest"
	CodeNotFound        = "notFound"
	CodeInternal        = "internal"
)

// Problem is the body of the response to a refused request, as in RFC 9457. It
// implements error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is one of the stable codes.
	Code string `json:"code"`
	// Faults lists the faults of a document, with CodeFaults.
	Faults []decoder.Fault `json:"faults,omitempty"`
	// Base and Current are the two revisions of a conflict, with CodeConflict.
	Base    ids.Revision `json:"base,omitempty"`
	Current ids.Revision `json:"current,omitempty"`
	// Revision and WriteID identify a write of which it is unknown whether it was
	// stored, with CodeUnresolved.
	Revision ids.Revision `json:"revision,omitempty"`
	WriteID  string       `json:"writeId,omitempty"`
}

// Error returns the detail, followed by one line for each fault.
func (p *Problem) Error() string {
	if len(p.Faults) == 0 {
		return p.Detail
	}
	lines := []string{p.Detail}
	for _, f := range p.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// ApplyResult is the response to a document that was stored.
type ApplyResult struct {
	Revision ids.Revision `json:"revision"`
	// Accepted reports that the revision is in force and can no longer be lost.
	// Otherwise it is stored, but not yet in force on the hosts in Unconfirmed.
	Accepted    bool           `json:"accepted"`
	InForce     []ids.Instance `json:"inForce"`
	Unconfirmed []ids.Instance `json:"notYet"`
}

// String returns a line for the operator that says where the revision is in force.
func (a ApplyResult) String() string {
	switch {
	case a.Accepted && len(a.Unconfirmed) == 0:
		return fmt.Sprintf("revision %d accepted; in force on all %d hosts", a.Revision, len(a.InForce))
	case a.Accepted:
		return fmt.Sprintf("revision %d accepted; in force on %d hosts; %s have it within seconds, or stop serving",
			a.Revision, len(a.InForce), joinInstances(a.Unconfirmed))
	case len(a.Unconfirmed) == 0:
		return fmt.Sprintf("revision %d stored, not yet in force: no host holds a seat", a.Revision)
	default:
		return fmt.Sprintf("revision %d stored, not yet in force on %s", a.Revision, joinInstances(a.Unconfirmed))
	}
}

func joinInstances(all []ids.Instance) string {
	s := make([]string, 0, len(all))
	for _, i := range all {
		s = append(s, string(i))
	}
	return strings.Join(s, ", ")
}

// Document is the text of a configuration document and its revision.
type Document struct {
	Revision ids.Revision
	Text     []byte
}

// PresetList is the response to a request for the presets.
type PresetList struct {
	Revision ids.Revision `json:"revision"`
	InForce  ids.Preset   `json:"inForce"`
	Presets  []ids.Preset `json:"presets"`
}

// HostSummary is the state of one host as another host knows it.
type HostSummary struct {
	Instance         ids.Instance `json:"instance"`
	Region           ids.Region   `json:"region"`
	Zone             ids.Zone     `json:"zone"`
	CallersAddress   string       `json:"callersAddress"`
	OperatorsAddress string       `json:"operatorsAddress"`
	Revision         ids.Revision `json:"revision"`
	Seats            []ids.Seat   `json:"seats"`
	Ready            bool         `json:"ready"`
	Leaving          bool         `json:"leaving"`
	// Missing reports that the host holds a seat but the responding host knows no
	// state of it.
	Missing bool `json:"silent"`
}

// HostList is the response to a request for the fleet's hosts.
type HostList struct {
	Hosts []HostSummary `json:"hosts"`
}

// Status is the state of one host as reported by itself.
type Status struct {
	HostSummary
	Version string `json:"version"`
	// Reason says why the host is not ready; empty if it is.
	Reason string `json:"reason,omitempty"`
	// LeaseLeftMs is the time until the serving lease expires, in milliseconds.
	LeaseLeftMs  int64             `json:"leaseLeftMs"`
	Preset       ids.Preset        `json:"preset"`
	SeatRevision ids.SeatRevision  `json:"seatRevision"`
	Targets      []TargetStatus    `json:"targets"`
	Workspaces   []WorkspaceStatus `json:"workspaces"`
	Services     []ServiceStatus   `json:"services"`
}

// TargetStatus is the state of one target of the host's region.
type TargetStatus struct {
	Target  ids.Target `json:"target"`
	Healthy bool       `json:"healthy"`
	Leaving bool       `json:"leaving"`
	// Drained reports that an operator drains the target or its region.
	Drained bool `json:"drained"`
	// Load is the number of busy slots at the last probe, and AgeMs the time since
	// then in milliseconds.
	Load  uint32 `json:"load"`
	AgeMs uint64 `json:"ageMs"`
}

// WorkspaceStatus is the host's part of one workspace's rate limit. Tokens is the
// number of tokens in its bucket.
type WorkspaceStatus struct {
	Workspace ids.Workspace `json:"workspace"`
	Tokens    float64       `json:"tokens"`
	// Rate and Demand are in requests per second.
	Rate   float64 `json:"rate"`
	Demand float64 `json:"demand"`
}

// ServiceStatus is the host's load from one service, in requests and slots.
type ServiceStatus struct {
	Service  ids.Service `json:"service"`
	Slots    uint32      `json:"slots"`
	InFlight uint32      `json:"inFlight"`
	Waiting  uint32      `json:"waiting"`
	// ForeignRate is the number of requests per second that the host serves for
	// callers of other regions.
	ForeignRate float64 `json:"foreignRate"`
}
