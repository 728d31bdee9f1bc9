package operators

import (
	"fmt"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// HeaderRevision carries the revision of the document in an answer.
const HeaderRevision = "Gypsum-Revision"

// The codes of refused operators' requests. They are stable.
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

// Problem is the body of a refused request, after RFC 9457. It is an error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is the stable reason.
	Code string `json:"code"`
	// Faults lists what is wrong with a document, with CodeFaults.
	Faults []decoder.Fault `json:"faults,omitempty"`
	// Base and Current are the two revisions of a conflict.
	Base    ids.Revision `json:"base,omitempty"`
	Current ids.Revision `json:"current,omitempty"`
	// Revision and WriteID find a write that is not known to be stored.
	Revision ids.Revision `json:"revision,omitempty"`
	WriteID  string       `json:"writeId,omitempty"`
}

// Error returns the detail, and the faults one a line.
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

// Applied is the answer to a stored document.
type ApplyResult struct {
	Revision ids.Revision `json:"revision"`
	// Accepted says that the revision is in force and can no longer be lost.
	// Otherwise it is stored, and not yet in force on the hosts of NotYet.
	Accepted    bool           `json:"accepted"`
	InForce     []ids.Instance `json:"inForce"`
	Unconfirmed []ids.Instance `json:"notYet"`
}

// String tells the operator where the revision is in force.
func (a ApplyResult) String() string {
	switch {
	case a.Accepted && len(a.Unconfirmed) == 0:
		return fmt.Sprintf("revision %d accepted; in force on all %d hosts", a.Revision, len(a.InForce))
	case a.Accepted:
		return fmt.Sprintf("revision %d accepted; in force on %d hosts; %s have it within seconds, or stop serving",
			a.Revision, len(a.InForce), names(a.Unconfirmed))
	case len(a.Unconfirmed) == 0:
		return fmt.Sprintf("revision %d stored, not yet in force: no host holds a seat", a.Revision)
	default:
		return fmt.Sprintf("revision %d stored, not yet in force on %s", a.Revision, names(a.Unconfirmed))
	}
}

func names(all []ids.Instance) string {
	s := make([]string, 0, len(all))
	for _, i := range all {
		s = append(s, string(i))
	}
	return strings.Join(s, ", ")
}

// Document is a configuration's text with its revision.
type Document struct {
	Revision ids.Revision
	Text     []byte
}

// PresetList is the answer about presets.
type PresetList struct {
	Revision ids.Revision `json:"revision"`
	InForce  ids.Preset   `json:"inForce"`
	Presets  []ids.Preset `json:"presets"`
}

// HostLine is one host as another host knows it.
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
	// Silent says that the host holds a seat but its peers do not hear of it.
	Missing bool `json:"silent"`
}

// HostList is the answer about the fleet's hosts.
type HostList struct {
	Hosts []HostSummary `json:"hosts"`
}

// Status is what one host says of itself.
type Status struct {
	HostSummary
	Version string `json:"version"`
	// Reason says why the host is not ready.
	Reason string `json:"reason,omitempty"`
	// LeaseLeftMs is the time left of the serving lease, in milliseconds.
	LeaseLeftMs  int64             `json:"leaseLeftMs"`
	Preset       ids.Preset        `json:"preset"`
	SeatRevision ids.SeatRevision  `json:"seatRevision"`
	Targets      []TargetStatus    `json:"targets"`
	Workspaces   []WorkspaceStatus `json:"workspaces"`
	Services     []ServiceStatus   `json:"services"`
}

// TargetStatus is what the host knows of one target of its region.
type TargetStatus struct {
	Target  ids.Target `json:"target"`
	Healthy bool       `json:"healthy"`
	Leaving bool       `json:"leaving"`
	// Drained says that an operator drains the target or its region.
	Drained bool `json:"drained"`
	// Load is the reported number of busy slots, and AgeMs the time since.
	Load  uint32 `json:"load"`
	AgeMs uint64 `json:"ageMs"`
}

// WorkspaceStatus is what the host holds of one workspace's limit.
type WorkspaceStatus struct {
	Workspace ids.Workspace `json:"workspace"`
	Tokens    float64       `json:"tokens"`
	// Rate and Demand are in requests a second.
	Rate   float64 `json:"rate"`
	Demand float64 `json:"demand"`
}

// ServiceStatus is the host's load of one service.
type ServiceStatus struct {
	Service  ids.Service `json:"service"`
	Slots    uint32      `json:"slots"`
	InFlight uint32      `json:"inFlight"`
	Waiting  uint32      `json:"waiting"`
	// ForeignRate is the rate of requests taken for other regions, a second.
	ForeignRate float64 `json:"foreignRate"`
}
