// Package fleetmeasure measures whole fleets of entry hosts on the virtual
// clock: the real hosts over an in-memory network, with stand-in targets.
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

// Sample is one request as its caller saw it.
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
	// Status is zero if no whole answer came.
	Status   int
	Outcome  refusal.Outcome
	Code     refusal.Code
	Replayed bool
}

// Samples collects requests. Its methods may be called from several goroutines.
type Samples struct {
	mu  sync.Mutex
	all []Sample
}

// Add adds one request.
func (s *Samples) Add(one Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, one)
}

// Where returns the requests that match.
func (s *Samples) Where(match func(one *Sample) bool) []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Sample
	for i := range s.all {
		if match(&s.all[i]) {
			out = append(out, s.all[i])
		}
	}
	return out
}

// Caller sends requests of one kind from one region, each at its own random
// time whether or not the earlier ones were answered.
type Caller struct {
	Fleet     *fleet.Fleet
	Samples   *Samples
	Name      string
	Service   ids.Service
	Method    string
	Path      string
	Workspace ids.Workspace
	Region    ids.Region
	// Rate is the number of requests a second.
	Rate float64
	// Once gives each request an idempotency key.
	Once bool
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Even sends at even intervals in place of random ones.
	Even   bool
	Random *rand.Rand

	transport *http.Transport
	hosts     []callers.EntryHost
	until     time.Time
	sent      int
}

// Run sends requests until ctx ends, and returns when all are answered.
func (c *Caller) Run(ctx context.Context) {
	c.transport = c.Fleet.Transport(c.Fleet.ClientIP(c.Region))
	defer c.transport.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for {
		next = next.Add(c.gap())
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		host, ok := c.choose(ctx)
		if !ok {
			continue
		}
		c.sent++
		one := Sample{
			ID: fmt.Sprintf("%s-%s-%d", c.Name, c.Region, c.sent), Service: c.Service,
			Workspace: c.Workspace, Region: c.Region, Host: host.Address,
		}
		if c.Once {
			one.Key = host.IdempotencyPrefix + "." + one.ID
		}
		wg.Go(func() { c.Samples.Add(c.Send(one)) })
	}
}

// gap returns the time to the next request.
func (c *Caller) gap() time.Duration {
	gap := float64(time.Second) / c.Rate
	if !c.Even {
		gap *= c.Random.ExpFloat64()
	}
	return time.Duration(gap)
}

// choose picks a host of a look-up's answer by weight.
func (c *Caller) choose(ctx context.Context) (callers.EntryHost, bool) {
	if time.Now().After(c.until) {
		c.lookup(ctx)
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

// lookup asks hosts at random until one answers, a few at most.
func (c *Caller) lookup(ctx context.Context) {
	nodes := c.Fleet.Nodes()
	for range 5 {
		n := nodes[c.Random.IntN(len(nodes))]
		if answer, err := c.ask(ctx, n.Config.CallersAddress); err == nil && len(answer.EntryHosts) > 0 {
			c.hosts = answer.EntryHosts
			c.until = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
			return
		}
	}
}

func (c *Caller) ask(ctx context.Context, address string) (*callers.LookupResponse, error) {
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
	defer func() { _ = resp.Body.Close() }() // It was read.
	answer := &callers.LookupResponse{}
	return answer, json.NewDecoder(resp.Body).Decode(answer)
}

// Send sends the request of a sample to the sample's host, and returns the
// sample with what came of it.
func (c *Caller) Send(one Sample) Sample {
	if c.transport == nil {
		c.transport = c.Fleet.Transport(c.Fleet.ClientIP(c.Region))
	}
	one.Sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var body io.Reader
	if c.Once {
		body = strings.NewReader(`{"pence":4900,"for":"blazer"}`)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+one.Host+"/s/"+string(c.Service)+c.Path, body)
	if err != nil {
		return one
	}
	if c.Workspace != "" {
		r.Header.Set("Authorization", "Bearer "+c.Fleet.Keys[c.Workspace])
	}
	r.Header.Set(callers.HeaderRegion, string(c.Region))
	r.Header.Set(target.HeaderRequestID, one.ID)
	if one.Key != "" {
		r.Header.Set(callers.HeaderIdempotencyKey, one.Key)
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		one.Elapsed = time.Since(one.Sent)
		return one
	}
	defer func() { _ = resp.Body.Close() }() // It was read.
	text, err := io.ReadAll(resp.Body)
	one.Elapsed = time.Since(one.Sent)
	if err != nil {
		return one
	}
	one.Status = resp.StatusCode
	one.Outcome = refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome))
	one.Replayed = resp.Header.Get(callers.HeaderReplayed) != ""
	var problem struct {
		Code refusal.Code `json:"code"`
	}
	if one.Status >= http.StatusBadRequest && json.Unmarshal(text, &problem) == nil {
		one.Code = problem.Code
	}
	return one
}
