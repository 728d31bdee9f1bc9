// Package fleetmeasure measures whole fleets on the virtual clock of a synctest
// bubble: real entry hosts over an in-memory network, with stand-in targets.
//
// A Run is a fleet of one of Deployments under load, to which a test adds faults.
// Replication measures the replicas of outcomes when hosts die.
package fleetmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// Sample is a request as its caller saw it.
type Sample struct {
	ID        string
	Key       string
	Service   ids.Service
	Workspace ids.Workspace
	Region    ids.Region
	// Host is the address of the entry host.
	Host    string
	Sent    time.Time
	Elapsed time.Duration
	// Status is zero if no complete response arrived.
	Status   int
	Outcome  refusal.Outcome
	Code     refusal.Code
	Replayed bool
}

// Samples collects requests. Its methods may be called concurrently.
type Samples struct {
	mu      sync.Mutex
	samples []Sample
}

// Add adds a request.
func (s *Samples) Add(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

// Filter returns the requests for which keep returns true.
func (s *Samples) Filter(keep func(sample *Sample) bool) []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Sample
	for i := range s.samples {
		if keep(&s.samples[i]) {
			out = append(out, s.samples[i])
		}
	}
	return out
}

// Caller sends requests of one kind from one region, at random times that do not
// depend on the responses to earlier ones. All fields but Workspace, AtMostOnce and
// FixedInterval are required; Run's Start methods set Fleet, Samples, Timeout and
// Random.
type Caller struct {
	Fleet     *fleet.Fleet
	Samples   *Samples
	Name      string
	Service   ids.Service
	Method    string
	Path      string
	Workspace ids.Workspace
	Region    ids.Region
	// Rate is the mean number of requests per second.
	Rate float64
	// AtMostOnce gives each request an idempotency key.
	AtMostOnce bool
	// Timeout is the time limit of a request.
	Timeout time.Duration
	// FixedInterval selects fixed intervals between requests instead of random ones.
	FixedInterval bool
	Random        *rand.Rand

	transport     *http.Transport
	hosts         []callers.EntryHost
	lookupExpires time.Time
	sent          int
}

// Run sends requests until ctx ends, and returns once all of them have ended.
func (c *Caller) Run(ctx context.Context) {
	c.transport = c.Fleet.Transport(c.Fleet.ClientIP(c.Region))
	defer c.transport.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for {
		next = next.Add(c.nextInterval())
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		host, ok := c.pickHost(ctx)
		if !ok {
			continue
		}
		c.sent++
		sample := Sample{
			ID: fmt.Sprintf("%s-%s-%d", c.Name, c.Region, c.sent), Service: c.Service,
			Workspace: c.Workspace, Region: c.Region, Host: host.Address,
		}
		if c.AtMostOnce {
			sample.Key = host.IdempotencyPrefix + "." + sample.ID
		}
		wg.Go(func() { c.Samples.Add(c.Send(sample)) })
	}
}

// nextInterval returns the time until the next request.
func (c *Caller) nextInterval() time.Duration {
	interval := float64(time.Second) / c.Rate
	if !c.FixedInterval {
		interval *= c.Random.ExpFloat64()
	}
	return time.Duration(interval)
}

// pickHost returns a random host of the last look-up response, by weight. It looks up
// the hosts again if the response has expired.
func (c *Caller) pickHost(ctx context.Context) (callers.EntryHost, bool) {
	if time.Now().After(c.lookupExpires) {
		c.refreshHosts(ctx)
	}
	total := 0.0
	for _, h := range c.hosts {
		total += h.Weight
	}
	at := c.Random.Float64() * total
	for _, h := range c.hosts {
		if at -= h.Weight; at < 0 {
			return h, true
		}
	}
	return callers.EntryHost{}, false
}

// refreshHosts sends a look-up to random hosts until one responds, at most five times.
func (c *Caller) refreshHosts(ctx context.Context) {
	nodes := c.Fleet.Nodes()
	for range 5 {
		n := nodes[c.Random.IntN(len(nodes))]
		if response, err := c.lookupAt(ctx, n.Config.CallersAddress); err == nil && len(response.EntryHosts) > 0 {
			c.hosts = response.EntryHosts
			c.lookupExpires = time.Now().Add(time.Duration(response.TTLMs) * time.Millisecond)
			return
		}
	}
}

func (c *Caller) lookupAt(ctx context.Context, address string) (*callers.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/lookup?service=%s&region=%s", address, c.Service, c.Region)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	response := &callers.LookupResponse{}
	return response, json.NewDecoder(resp.Body).Decode(response)
}

// Send sends the request that a sample describes to the sample's host, and returns
// the sample with the result.
func (c *Caller) Send(sample Sample) Sample {
	if c.transport == nil {
		c.transport = c.Fleet.Transport(c.Fleet.ClientIP(c.Region))
	}
	sample.Sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var body io.Reader
	if c.AtMostOnce {
		body = strings.NewReader(`{"pence":4900,"for":"blazer"}`)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+sample.Host+"/s/"+string(c.Service)+c.Path, body)
	if err != nil {
		return sample
	}
	if c.Workspace != "" {
		r.Header.Set("Authorization", "Bearer "+c.Fleet.Keys[c.Workspace])
	}
	r.Header.Set(callers.HeaderRegion, string(c.Region))
	r.Header.Set(target.HeaderRequestID, sample.ID)
	if sample.Key != "" {
		r.Header.Set(callers.HeaderIdempotencyKey, sample.Key)
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		sample.Elapsed = time.Since(sample.Sent)
		return sample
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	text, err := io.ReadAll(resp.Body)
	sample.Elapsed = time.Since(sample.Sent)
	if err != nil {
		return sample
	}
	sample.Status = resp.StatusCode
	sample.Outcome = refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome))
	sample.Replayed = resp.Header.Get(callers.HeaderReplayed) != ""
	var problem struct {
		Code refusal.Code `json:"code"`
	}
	if sample.Status >= http.StatusBadRequest && json.Unmarshal(text, &problem) == nil {
		sample.Code = problem.Code
	}
	return sample
}
