package callers

import (
	"context"
	"io"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Snapshot returns the configuration in force, or nil before the first one.
	Snapshot() *config.Snapshot
}

// Lease is this host's serving lease. It is checked at every decision.
type Lease interface {
	// Check returns nil while the lease is valid, else the refusal for the caller.
	Check() *refusal.Refusal
}

// RateLimiter enforces each workspace's rate and burst across the fleet.
type RateLimiter interface {
	// Admit takes one token from the workspace's bucket. It may wait a limited time for
	// tokens from other hosts. Its error is a *refusal.Refusal, or ctx's error.
	Admit(ctx context.Context, ws ids.Workspace) error
}

// SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Service   ids.Service
	Workspace ids.Workspace
	// Avoid lists the targets that already failed this request.
	Avoid []ids.Target
}

// Dispatcher allocates slots at targets of this host's region.
type Dispatcher interface {
	// Acquire returns a slot at the best target. It waits in the service's queue until
	// ctx's deadline, and refuses at once a request that cannot get a slot in time. Its
	// error is a *refusal.Refusal, or ctx's error.
	Acquire(ctx context.Context, req SlotRequest) (Slot, error)
}

// Slot is the permission to send one request to one target. Release must be called
// exactly once, when the target can no longer be working on the request.
type Slot interface {
	Target() ids.Target
	// Address returns the target's IP address and port.
	Address() string
	// Release returns the slot and reports the result of the request.
	Release(res AttemptResult)
}

// AttemptResult is the result of an attempt at a target. The selection of targets uses
// it.
type AttemptResult struct {
	// Connected is false if no connection could be opened.
	Connected bool
	// Status is the HTTP status of the target's response, or zero without one.
	Status int
	// Shed reports that the target shed the request without running it.
	Shed bool
	// Leaving reports that the target is draining.
	Leaving bool
	// Cancelled reports that the request's context had ended, which is no fault of the
	// target.
	Cancelled bool
	// Elapsed is the time until the response header.
	Elapsed time.Duration
}

// Steerer selects the region that serves a request.
type Steerer interface {
	// Lookup returns the entry hosts for a caller at address that says that it is in
	// region, which may be empty.
	Lookup(svc ids.Service, region ids.Region, address string) (*LookupResponse, error)
	// Origin returns the region of a caller at address that says that it is in region
	// claimed, which may be empty.
	Origin(address string, claimed ids.Region) ids.Region
	// Route returns the region that should serve one request that arrived at this host
	// from a caller in origin, which may be empty.
	Route(svc ids.Service, origin ids.Region) ids.Region
	// FailoverRegion returns the best other region for a request that failed in this
	// one, and false if no region can serve it.
	FailoverRegion(svc ids.Service, origin ids.Region) (ids.Region, bool)
	// AdmitRemote counts one request that this region serves for a caller in origin. It
	// returns a refusal if the shift cap is reached.
	AdmitRemote(svc ids.Service, origin ids.Region) *refusal.Refusal
}

// LookupResponse is the JSON body of a look-up response.
type LookupResponse struct {
	Service    ids.Service  `json:"service"`
	Region     ids.Region   `json:"region"`
	EntryHosts []EntryHost  `json:"entryHosts"`
	TTLMs      int64        `json:"ttlMs"`
	Revision   ids.Revision `json:"revision"`
}

// EntryHost is one entry host in a look-up response.
type EntryHost struct {
	// Address is the IP address and port for requests.
	Address string     `json:"address"`
	Region  ids.Region `json:"region"`
	Zone    ids.Zone   `json:"zone"`
	// Weight is relative to the other hosts of the response.
	Weight float64 `json:"weight"`
	// IdempotencyPrefix is the prefix for idempotency keys of requests to this host.
	IdempotencyPrefix string `json:"idempotencyPrefix"`
}

// Request is a request to forward to a target, directly or through a peer.
type Request struct {
	Service   ids.Service
	Workspace ids.Workspace
	// Origin is the caller's region, or that of the host that received the request.
	Origin ids.Region
	Method string
	// Path is the escaped path and query after /s/{service}.
	Path string
	// Header holds the fields for the target, without hop-by-hop fields and keys.
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is -1 when it is not known.
	ContentLength int64
	// Trailer is filled in when Body ends.
	Trailer http.Header
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// IdempotencyKey is set on at-most-once requests until they reach the owner of the
	// key.
	IdempotencyKey string

	// allowed is called before each attempt to send the request, and returns a refusal
	// if the request may no longer be sent. Nil allows all.
	allowed func() *refusal.Refusal
}

// Response is the response to a Request. Body must be closed; it is complete only if it
// was read to EOF without an error.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Trailer http.Header
	// ContentLength is -1 when it is not known.
	ContentLength int64
	Outcome       refusal.Outcome
	Target        ids.Target
	Region        ids.Region
	// Replayed reports that this is the recorded response to an earlier arrival.
	Replayed bool
	// TargetLatency is the time until the target's response header, and Waited the time
	// spent waiting for tokens and slots. Both are zero if a peer responded.
	TargetLatency time.Duration
	Waited        time.Duration
}

// Sender sends requests to targets.
type Sender interface {
	// Do sends r to the target at address and returns the response with its body
	// unread. wrote reports whether any byte of the request may have been written; it
	// is true whenever there is a response. Do does not retry once a byte may have been
	// written. When ctx ends, the connection is closed.
	Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error)
}

// Relayer forwards requests to other entry hosts.
type Relayer interface {
	// ToRegion sends req to a host of region r that is ready to serve it. Its error is
	// a *refusal.Refusal, or ctx's error if nothing was sent.
	ToRegion(ctx context.Context, r ids.Region, req *Request) (*Response, error)
	// ToOwner sends req to the instance that owns its idempotency key. Its error is a
	// *refusal.Refusal, which says NotRun only if the owner said so.
	ToOwner(ctx context.Context, owner ids.Instance, req *Request) (*Response, error)
}

// Backup keeps copies of the outcomes of idempotency keys at another host, in case
// their owner dies.
type Backup interface {
	// Copy sends the outcome of a key that this host owns to its backup host.
	Copy(k deduplicator.Key, req deduplicator.Request, o *deduplicator.Outcome)
	// Recall returns the copied outcome of a key whose owner is unreachable, or nil if
	// there is none. Its error is a *refusal.Refusal.
	Recall(ctx context.Context, k deduplicator.Key, req deduplicator.Request) (*deduplicator.Outcome, error)
}

// Record describes one completed or refused request, for the metrics and the report.
type Record struct {
	Service   ids.Service
	Workspace ids.Workspace
	Origin    ids.Region
	Region    ids.Region
	Target    ids.Target
	Outcome   refusal.Outcome
	// Code is the refusal code; empty if the request was not refused.
	Code   refusal.Code
	Status int
	// Elapsed is the total time, TargetLatency the time until the target's response
	// header, and Waited the time spent waiting for tokens and slots.
	Elapsed       time.Duration
	TargetLatency time.Duration
	Waited        time.Duration
}

// Meter counts requests. Record may be called concurrently.
type Meter interface {
	Record(r Record)
}
