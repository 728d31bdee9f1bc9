// Package gateway serves callers' requests at an entry host that sends to
// targets of any region: it finds the route, holds the workspace to its rate,
// chooses targets, and answers truthfully for what did not run.
package gateway

import (
	"context"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

// Call is what a caller says of its request in the head.
type RequestInfo struct {
	// ID is the caller's name for this attempt.
	ID string
	// Object is what the request is about.
	Object string
	// Key is the workspace key, and is no part of any log line.
	Key string
	// Patience is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
}

// Send is what a target is told with a request.
type ForwardInfo struct {
	// Workspace is empty where the request comes from nobody in particular.
	Workspace ids.Workspace
	// Target is the one that is meant: another one at its address must refuse.
	Target ids.Target
	// Left is the time that is left for the request.
	Timeout time.Duration
}

// Verdict is what a target says of its answer in the head.
type ResponseInfo struct {
	// NotRun says that the target refused the request without running it.
	NotRun bool
	// Replaced says that another target has the address.
	Replaced bool
	// Stamped says that the answer is signed by the target.
	Stamped bool
	// Foreign says that the answer belongs to another request, and Identified
	// that it names this one.
	IDMismatch bool
	IDMatch    bool
	// Load is how many requests the target runs or holds; HasLoad says that it
	// told.
	Load    int
	HasLoad bool
	// ColdFor is how long the target stays cold.
	ColdFor time.Duration
	// Leaving says that the target takes no new work.
	Leaving bool
	// Pause is how long the target wants nothing from this host.
	RetryAfter time.Duration
}

// Headers reads and writes the header fields of requests and answers.
type HeaderCodec interface {
	ReadRequest(h http.Header) RequestInfo
	WriteForward(h http.Header, s ForwardInfo)
	ReadResponse(status int, h http.Header, id string) ResponseInfo
}

// Routes returns the routes in force, or nil before there are any.
type RouterSource interface {
	Router() *router.Router
}

// Confirmer tells how old the last proof is that the routes are the newest.
type Confirmer interface {
	Age() (time.Duration, bool)
}

// Placer chooses targets.
type Placer interface {
	// Pick's error is a *placer.ErrNoTarget or a *placer.ErrBusy.
	Pick(w balancer.Request) (*balancer.Choice, error)
}

// Quota holds workspaces to their rates over all hosts.
type RateLimiter interface {
	// Admit takes one request of the workspace, or returns the time after which
	// the next one can be taken.
	Admit(w *router.Workspace) (wait time.Duration, ok bool)
}

// Sender sends a request to an address.
type Sender interface {
	// Do returns the answer, and whether a byte of r may have been written.
	Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error)
}

// Budget bounds second sends.
type RetryBudget interface {
	RecordRequest(svc ids.Service, ws ids.Workspace, ratio float64)
	AllowRetry(svc ids.Service, ws ids.Workspace) bool
}

// Recorder takes what became of each request.
type Recorder interface {
	Record(r *Record)
}

// Attempt is one send of a request.
type Attempt struct {
	Target ids.Target
	Zone   ids.Zone
	Region ids.Region
	// Warm says that the target was believed to have served the object lately,
	// and Backlog how many requests it was believed to hold.
	Warm    bool
	Backlog float64
	// Expected is the expected time until the answer, and Took the real one.
	Expected, Elapsed time.Duration
	// Result is a word for what became of it.
	Result string
}

// Record is what became of a request.
type Record struct {
	ID        string
	Route     string
	Service   ids.Service
	Workspace ids.Workspace
	Object    string
	Status    int
	// Reason is a word for why the host answered itself; empty if a target did.
	Reason string
	// Version and ConfirmedAgo tell the configuration that decided.
	ConfigVersion   uint64
	ConfirmationAge time.Duration
	// Left is the time that the request had at its arrival.
	Timeout    time.Duration
	RetryAfter time.Duration
	Elapsed    time.Duration
	Attempts   []Attempt
	// CallerGone says that the caller had left.
	CallerGone bool
}
