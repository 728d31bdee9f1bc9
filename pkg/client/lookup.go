package client

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

const (
	// lookupTimeout bounds a look-up at one entry host.
	lookupTimeout = 2 * time.Second
	// maxLookupBytes bounds the answer to a look-up.
	maxLookupBytes = 1 << 20
)

// lookupCache caches the answers to look-ups by service.
type lookupCache struct {
	mu       sync.Mutex
	services map[ids.Service]*cachedLookup
}

// cachedLookup is the cached look-up of one service. lock guards the other fields and
// is held during a look-up, so that concurrent requests cause only one. It is a
// channel, so that waiting for it can end with the request's context.
type cachedLookup struct {
	lock       chan struct{}
	answer     *callers.LookupResponse
	validUntil time.Time
}

func (l *lookupCache) entry(svc ids.Service) *cachedLookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[ids.Service]*cachedLookup)
	}
	if l.services[svc] == nil {
		l.services[svc] = &cachedLookup{lock: make(chan struct{}, 1)}
	}
	return l.services[svc]
}

// lookup returns the entry hosts of a service. An expired answer is used only if no
// entry host gives a new one.
func (c *Client) lookup(ctx context.Context, svc ids.Service) (*callers.LookupResponse, error) {
	l := c.lookups.entry(svc)
	select {
	case l.lock <- struct{}{}:
		defer func() { <-l.lock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l.answer != nil && time.Now().Before(l.validUntil) {
		return l.answer, nil
	}
	asked := time.Now()
	answer, err := c.lookupAtAny(ctx, svc, l.answer)
	if err != nil {
		if l.answer != nil && ctx.Err() == nil {
			return l.answer, nil
		}
		return nil, err
	}
	l.answer = answer
	l.validUntil = asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return answer, nil
}

// lookupAtAny asks entry hosts in random order until one answers.
func (c *Client) lookupAtAny(ctx context.Context, svc ids.Service, previous *callers.LookupResponse) (*callers.LookupResponse, error) {
	addresses := slices.Clone(c.cfg.EntryHosts)
	if previous != nil {
		for _, h := range previous.EntryHosts {
			addresses = append(addresses, h.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errs.New("no entry host is known")
	for _, address := range addresses {
		var answer *callers.LookupResponse
		if answer, err = c.lookupAt(ctx, address, svc); err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errs.New("look-up of service %s: %v", svc, err)
}

// lookupAt asks one entry host.
func (c *Client) lookupAt(ctx context.Context, address string, svc ids.Service) (*callers.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"service": {string(svc)}}
	if c.cfg.Region != "" {
		q.Set("region", string(c.cfg.Region))
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.cfg.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // The body was read, or is not needed.
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errs.New("entry host %s responded with status %s", address, resp.Status)
	}
	var answer callers.LookupResponse
	if err := json.Unmarshal(b, &answer); err != nil {
		return nil, errs.New("decode the answer of entry host %s: %v", address, err)
	}
	return &answer, nil
}

// ownerOf returns the host that owns an idempotency key, unless it failed. Any other
// host would have to relay the request to it.
func ownerOf(key string, hosts []callers.EntryHost, failed []string) (callers.EntryHost, bool) {
	owner, _, ok := strings.Cut(key, "-")
	if !ok {
		return callers.EntryHost{}, false
	}
	for _, h := range hosts {
		if strings.HasPrefix(h.IdempotencyPrefix, owner+"-") && !slices.Contains(failed, h.Address) {
			return h, true
		}
	}
	return callers.EntryHost{}, false
}

// pickByWeight picks a random host by weight among those that did not fail, or among
// all if all failed.
func pickByWeight(hosts []callers.EntryHost, failed []string) (callers.EntryHost, bool) {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(h callers.EntryHost) bool {
		return slices.Contains(failed, h.Address)
	})
	if len(candidates) == 0 {
		candidates = hosts
	}
	if len(candidates) == 0 {
		return callers.EntryHost{}, false
	}
	total := 0.0
	for _, h := range candidates {
		total += h.Weight
	}
	at := rand.Float64() * total
	for _, h := range candidates {
		if at -= h.Weight; at < 0 {
			return h, true
		}
	}
	return candidates[rand.IntN(len(candidates))], true
}
