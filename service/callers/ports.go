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

// Configuration gives the configuration in force.
type ConfigSource interface {
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot() *config.Snapshot
}

// Lease tells whether this host may act. It is asked at each decision.
type Lease interface {
	// Check returns nil while the serving lease is valid, else why the host
	// refuses.
	Check() *refusal.Refusal
}

// Admitter holds each workspace to its rate and burst over the whole fleet.
type RateLimiter interface {
	// Admit takes one token of the workspace. It may wait a bounded time for
	// tokens of other hosts. Its error is a *refusal.Refusal, or ctx's error.
	Admit(ctx context.Context, ws ids.Workspace) error
}

// Want describes the slot that a request needs.
type SlotRequest struct {
	Service   ids.Service
	Workspace ids.Workspace
	// Avoid lists targets that failed this request before.
	Avoid []ids.Target
}

// Dispatcher hands out slots at targets of this host's own region.
type Dispatcher interface {
	// Acquire returns a slot at the best target. It waits in the service's queue
	// until ctx's deadline, and refuses at once what cannot make it. Its error
	// is a *refusal.Refusal, or ctx's error.
	Acquire(ctx context.Context, w SlotRequest) (Slot, error)
}

// Slot is the right to send one request to one target. Release must be called
// exactly once, when the target can no longer be working on the request.
type Slot interface {
	Target() ids.Target
	// Address is the target's IP number and port.
	Address() string
	// Release gives the slot back and tells how the request went.
	Release(r AttemptResult)
}

// Result tells how a request went at a target, for the choice of targets.
type AttemptResult struct {
	// Connected is false when no connection could be made.
	Connected bool
	// Status is the target's answer, or zero when there was none.
	Status int
	// Shed says that the target said it did not run the request.
	Shed bool
	// Leaving says that the target said it takes no new work.
	Leaving bool
	// Cancelled says that the caller left, which is no fault of the target.
	Cancelled bool
	// Elapsed is the time until the answer's head.
	Elapsed time.Duration
}

// Steerer says where requests go.
type Steerer interface {
	// Lookup answers a caller in region, which may be empty, from address.
	Lookup(svc ids.Service, region ids.Region, address string) (*LookupResponse, error)
	// Origin returns the region of a caller at an address that says that it is in
	// region claimed, which may be empty.
	Origin(address string, claimed ids.Region) ids.Region
	// Route returns the region that is to serve one request that came in here
	// from a caller in origin, which may be empty.
	Route(svc ids.Service, origin ids.Region) ids.Region
	// Elsewhere returns the best other region for a request that failed in this
	// one, and false if none can serve it.
	FailoverRegion(svc ids.Service, origin ids.Region) (ids.Region, bool)
	// Accept counts one request that this region takes over from origin. It
	// returns a refusal when the shift cap does not let it in.
	AdmitRemote(svc ids.Service, origin ids.Region) *refusal.Refusal
}

// LookupAnswer is the answer of a look-up.
type LookupResponse struct {
	Service    ids.Service  `json:"service"`
	Region     ids.Region   `json:"region"`
	EntryHosts []EntryHost  `json:"entryHosts"`
	TTLMs      int64        `json:"ttlMs"`
	Revision   ids.Revision `json:"revision"`
}

// EntryHost is one entry host of a look-up's answer.
type EntryHost struct {
	// Address is the IP number and port for requests.
	Address string     `json:"address"`
	Region  ids.Region `json:"region"`
	Zone    ids.Zone   `json:"zone"`
	// Weight is relative to the other hosts of the answer.
	Weight float64 `json:"weight"`
	// IdempotencyPrefix starts the idempotency keys of requests sent there.
	IdempotencyPrefix string `json:"idempotencyPrefix"`
}

// Forward is one request on its way to a target, here or at a peer.
type Request struct {
	Service   ids.Service
	Workspace ids.Workspace
	// Origin is the caller's region, or the region of the host that took it in.
	Origin ids.Region
	Method string
	// Path is the escaped path and query behind /s/{service}.
	Path string
	// Header holds what goes on to the target: no hop-by-hop field and no key.
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is -1 when it is not known.
	ContentLength int64
	// Trailer is filled when Body ends.
	Trailer http.Header
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// IdempotencyKey is set for requests that run at most once, on their way to
	// the key's owner.
	IdempotencyKey string

	// allowed is asked again before the request is sent; nil allows it.
	allowed func() *refusal.Refusal
}

// Answer is the answer to a Forward. Body must be closed; reading it to EOF
// without an error means that it is whole.
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
	// Replayed says that the answer is the recorded one of an earlier arrival.
	Replayed bool
	// AtTarget is the time until the target's answer head, and Waited the time
	// for tokens and slots. Both are zero for an answer of a peer.
	TargetLatency time.Duration
	Waited        time.Duration
}

// Sender sends requests to targets.
type Sender interface {
	// Do sends r to the target at address and returns the head of its answer.
	// Wrote reports whether any byte of the request can have been written; it
	// is true whenever there is an answer. Do does not retry by itself once a
	// byte can have been written. Ending ctx closes the connection.
	Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error)
}

// Relayer sends requests to other entry hosts.
type Relayer interface {
	// ToRegion sends f to a host of a region that is ready to serve it. Its error
	// is a *refusal.Refusal, or ctx's error when nothing was sent.
	ToRegion(ctx context.Context, r ids.Region, f *Request) (*Response, error)
	// ToOwner sends f to the instance that owns its idempotency key. Its error is
	// a *refusal.Refusal, which says NotRun only if the owner said so.
	ToOwner(ctx context.Context, owner ids.Instance, f *Request) (*Response, error)
}

// Backup keeps copies of the outcomes of idempotency keys at another host, for
// the time after their owner's death.
type Backup interface {
	// Copy sends the outcome of a key that this host owns to its backup.
	Copy(k deduplicator.Key, q deduplicator.Request, o *deduplicator.Outcome)
	// Recall returns the copied outcome of a key whose owner is out of reach, or
	// nil when none is found. Its error is a *refusal.Refusal.
	Recall(ctx context.Context, k deduplicator.Key, q deduplicator.Request) (*deduplicator.Outcome, error)
}

// Record is one finished or refused request, for metrics and the report.
type Record struct {
	Service   ids.Service
	Workspace ids.Workspace
	Origin    ids.Region
	Region    ids.Region
	Target    ids.Target
	Outcome   refusal.Outcome
	// Code is empty for a request that was answered.
	Code   refusal.Code
	Status int
	// Elapsed is the whole time, AtTarget the time until the target's answer
	// head, and Waited the time for tokens and slots.
	Elapsed       time.Duration
	TargetLatency time.Duration
	Waited        time.Duration
}

// Recorder counts requests.
type Meter interface {
	Record(r Record)
}
