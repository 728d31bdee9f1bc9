// Package gateway implements the HTTP handler of a gateway host, an entry host that
// forwards requests to targets in any region. For each request it matches the route,
// authenticates the workspace, enforces the workspace's rate limit, selects a target,
// and retries on another target where that is safe. A 429 or 503 response guarantees
// that the request did not run; after a 502 or 504 it may have run.
//
// New returns a Handler for an HTTP/1.1 server. The interfaces in this file are its
// dependencies.
package gateway

import (
	"context"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

// RequestInfo is the metadata that a caller sends in a request's header fields.
type RequestInfo struct {
	// ID is the request ID that the caller chose for this attempt.
	ID string
	// Object is the affinity key: on routes with affinity, targets that served the same
	// object recently are preferred. It may be empty.
	Object string
	// Key is the workspace's API key. It must not be logged.
	Key string
	// Timeout is how long the caller waits for the response; 0 if it sent none.
	Timeout time.Duration
}

// ForwardInfo is the metadata that a target receives with a request.
type ForwardInfo struct {
	// Workspace is the authenticated workspace; empty for a request without one.
	Workspace ids.Workspace
	// Target is the intended target. A different target at the same address must refuse
	// the request.
	Target ids.Target
	// Timeout is the time remaining for the request.
	Timeout time.Duration
}

// ResponseInfo is the metadata that a target sends in a response's header fields.
type ResponseInfo struct {
	// NotRun reports that the target refused the request without running it.
	NotRun bool
	// AddressReused reports that a different target now has the address.
	AddressReused bool
	// Stamped reports that the response carries the target's stamp.
	Stamped bool
	// IDMismatch reports that the response carries the ID of another request, and
	// IDMatch that it carries the ID of this one.
	IDMismatch bool
	IDMatch    bool
	balancer.LoadReport
	// Leaving reports that the target is draining and accepts no new requests.
	Leaving bool
	// RetryAfter is how long the target asks this host to send it no requests.
	RetryAfter time.Duration
	// Limit is what the response tells about the target's limit.
	Limit balancer.Limit
}

// HealthInfo is the metadata that a target sends in the response to a health check.
type HealthInfo struct {
	// Target is the target that responded.
	Target ids.Target
	balancer.LoadReport
}

// HeaderCodec reads and writes the header fields that carry metadata. Its methods may
// be called concurrently.
type HeaderCodec interface {
	// ReadRequest decodes the metadata of a caller's request.
	ReadRequest(h http.Header) RequestInfo
	// WriteRelay sets the time that a request has left in the metadata for another host.
	WriteRelay(h http.Header, timeout time.Duration)
	// WriteForward replaces the caller's metadata in h by that for the target, and
	// removes the key.
	WriteForward(h http.Header, info ForwardInfo)
	// ReadResponse decodes the metadata of a target's response to the request with
	// ID id.
	ReadResponse(status int, h http.Header, id string) ResponseInfo
	// ReadHealth decodes the metadata of a target's response to a health check.
	ReadHealth(h http.Header) HealthInfo
}

// RouterSource provides the current routes.
type RouterSource interface {
	// Router returns the routes in force, or nil before the first configuration.
	Router() *router.Router
}

// Confirmer tracks when the routes were last confirmed to be the newest version.
type Confirmer interface {
	// Age returns the time since the last confirmation, and false before the first.
	Age() (time.Duration, bool)
}

// Balancer selects targets.
type Balancer interface {
	// Pick selects a target for one request. Its error is a *balancer.ErrNoTarget, a
	// *balancer.ErrBusy or a *balancer.ErrLimited.
	Pick(req balancer.Request) (*balancer.Choice, error)
	// CheckFirst returns the target whose health is to be checked before Pick is called, as
	// its state decides which target is best. It returns false if there is none.
	CheckFirst(req balancer.Request) (balancer.HealthCheck, bool)
	// Explain tells what Pick would do with a request now, and changes nothing.
	Explain(req balancer.Request) balancer.Explanation
	// ObserveHealth takes in what a target responded to a health check.
	ObserveHealth(id ids.Target, report balancer.LoadReport)
	// HasRoom reports whether the targets of a service have room for work that is not
	// necessary.
	HasRoom(service ids.Service) bool
}

// RateLimiter enforces the rate limit of each workspace across all hosts.
type RateLimiter interface {
	// Admit counts one request of the workspace. If the workspace is over its limit, ok
	// is false and wait is the time until its next request can be admitted.
	Admit(ws *router.Workspace) (wait time.Duration, ok bool)
	// WouldAdmit reports whether Admit would admit a request now, and counts nothing. known is
	// false if that cannot be told.
	WouldAdmit(ws *router.Workspace) (admits, known bool)
}

// Sender sends requests to targets.
type Sender interface {
	// Do sends r to the target at address and returns the response. wrote reports
	// whether any byte of r may have been written, also if there is an error.
	Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error)
	// Refuses reports whether nothing listens at the address, as after a crash.
	Refuses(ctx context.Context, address string) bool
}

// Watchdog finds out whether this host has lost its links to all targets. Its methods may be
// called concurrently.
type Watchdog interface {
	// CutOff reports whether the links are lost, and Suspicious whether they may be.
	CutOff() bool
	Suspicious() bool
	// Lost returns a channel that is closed when the links are found lost the next time.
	Lost() <-chan struct{}
	// Begin records that a request is sent to the target at an address. The returned
	// function must be called when it has ended, and tells whether the target answered.
	Begin(address string) func(answered bool)
}

// Relayer sends requests to other hosts.
type Relayer interface {
	// Hosts returns the addresses of hosts to which a request may be sent whose targets
	// must be in one of each of the given lists of regions, the preferred ones first. An
	// empty list allows all regions.
	Hosts(homeRegions [][]ids.Region) []string
	// Do is like Sender.Do, to the host at an address that Hosts returned.
	Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error)
}

// RetryBudget limits retries to a share of the requests.
type RetryBudget interface {
	// RecordRequest counts one request, which earns ratio of a retry.
	RecordRequest(svc ids.Service, ws ids.Workspace, ratio float64)
	// AllowRetry reports whether one more retry is within the budget, and counts it.
	AllowRetry(svc ids.Service, ws ids.Workspace) bool
}

// Hedger decides when a slow idempotent request is sent to a second target. Its methods may
// be called concurrently.
type Hedger interface {
	// RecordRequest counts the first send of a request.
	RecordRequest(service ids.Service)
	// Observe records the response time of a request of the class.
	Observe(class string, elapsed, expected time.Duration)
	// Delay returns how long to wait for the first target, or false if the request is not
	// to be sent to a second one.
	Delay(class string, expected time.Duration) (time.Duration, bool)
	// Allow reports whether one more hedge is within the share, and counts it.
	Allow(service ids.Service) bool
}

// Isolator keeps requests that crash targets from further ones. Its methods may be called
// concurrently.
type Isolator interface {
	// Empty reports whether no request is suspected, and Suspects whether one with this
	// head may be suspected.
	Empty() bool
	Suspects(head fingerprinter.Hash) bool
	// Admit returns whether a request may be sent now, and if not, the time after which it
	// may come again.
	Admit(f fingerprinter.Fingerprint) (isolator.Verdict, time.Duration)
	// RecordCrash records that a target crashed that had the request, and RecordAnswer
	// that one answered it.
	RecordCrash(f fingerprinter.Fingerprint, c isolator.Crash)
	RecordAnswer(f fingerprinter.Fingerprint)
}

// Recorder receives a Record of each completed request, and each Crash. Its methods may
// be called concurrently.
type Recorder interface {
	Record(r *Record)
	RecordCrash(c *Crash)
}

// Crash describes a target that crashed while it had a request.
type Crash struct {
	// ID and Fingerprint identify the request.
	ID          string
	Fingerprint fingerprinter.Fingerprint
	Route       string
	Service     ids.Service
	Workspace   ids.Workspace
	Target      ids.Target
	// Elapsed is the time from the sending of the request to the crash.
	Elapsed time.Duration
}

// Attempt describes one attempt to send a request to a target.
type Attempt struct {
	// Relay is the address of the host to which the request was passed on; the fields up
	// to Expected are empty then.
	Relay  string
	Target ids.Target
	Zone   ids.Zone
	Region ids.Region
	// Hedge reports that the request was sent to the target while it was still in progress
	// at another one.
	Hedge bool
	// Warm reports that the target was believed to have served the object recently, and
	// Backlog is the estimated number of requests that it held.
	Warm    bool
	Backlog float64
	// Expected is the expected time until the response, and Elapsed the actual time.
	Expected, Elapsed time.Duration
	// Result names the outcome; docs/OPERATIONS.md lists the values.
	Result string
	// Limit is what the target's response told about its limit, as far as it counts.
	Limit balancer.Limit
}

// Record describes one completed request, for the access log and the metrics.
type Record struct {
	ID        string
	Route     string
	Service   ids.Service
	Workspace ids.Workspace
	Object    string
	Status    int
	// Reason names why the host responded itself; empty if a target's response was
	// passed on.
	Reason string
	// ConfigVersion is the version of the configuration that was applied, and
	// ConfirmationAge the time since it was last confirmed to be the newest.
	ConfigVersion   uint64
	ConfirmationAge time.Duration
	// Timeout is the time that the request had on arrival.
	Timeout    time.Duration
	RetryAfter time.Duration
	Elapsed    time.Duration
	// Attempts lists the attempts in the order in which they ended.
	Attempts []Attempt
	// HealthChecks is the number of targets whose health was checked before an attempt.
	HealthChecks int
	// Hedge tells what became of a second send while the first one was in progress:
	// HedgeWon, HedgeLost, HedgeDenied with the reason HedgeReason, or empty if there was no
	// need of one or it was out of question.
	Hedge, HedgeReason string
	// CallerGone reports that the caller disconnected before the response was complete.
	CallerGone bool
}
