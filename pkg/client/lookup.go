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
	// lookupTimeout bounds the question to one entry host.
	lookupTimeout = 2 * time.Second
	// lookupBytes bounds the answer of a look-up.
	lookupBytes = 1 << 20
)

// lookups holds the answers that may still be used.
type lookups struct {
	mu       sync.Mutex
	services map[ids.Service]*cached
}

// cached is the look-up of one service. Who holds its turn may use it and ask
// for it, so that many requests ask once; a wait for the turn ends with the
// request.
type cached struct {
	turn   chan struct{}
	answer *callers.LookupResponse
	until  time.Time
}

func (l *lookups) of(svc ids.Service) *cached {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[ids.Service]*cached)
	}
	if l.services[svc] == nil {
		l.services[svc] = &cached{turn: make(chan struct{}, 1)}
	}
	return l.services[svc]
}

// lookup returns the entry hosts of a service. An answer that is too old is
// used only if no entry host gives a new one.
func (c *Client) lookup(ctx context.Context, svc ids.Service) (*callers.LookupResponse, error) {
	l := c.lookups.of(svc)
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l.answer != nil && time.Now().Before(l.until) {
		return l.answer, nil
	}
	asked := time.Now()
	answer, err := c.askAny(ctx, svc, l.answer)
	if err != nil {
		if l.answer != nil && ctx.Err() == nil {
			return l.answer, nil
		}
		return nil, err
	}
	l.answer = answer
	l.until = asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return answer, nil
}

// askAny asks entry hosts in a random order until one answers.
func (c *Client) askAny(ctx context.Context, svc ids.Service, last *callers.LookupResponse) (*callers.LookupResponse, error) {
	addresses := slices.Clone(c.cfg.EntryHosts)
	if last != nil {
		for _, h := range last.EntryHosts {
			addresses = append(addresses, h.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errs.New("no entry host is known")
	for _, address := range addresses {
		var answer *callers.LookupResponse
		if answer, err = c.ask(ctx, address, svc); err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errs.New("look-up of service %s: %v", svc, err)
}

// ask asks one entry host.
func (c *Client) ask(ctx context.Context, address string, svc ids.Service) (*callers.LookupResponse, error) {
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
	defer func() { _ = resp.Body.Close() }() // It is read whole, or of no use.
	b, err := io.ReadAll(io.LimitReader(resp.Body, lookupBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errs.New("%s answers %s", address, resp.Status)
	}
	var answer callers.LookupResponse
	if err := json.Unmarshal(b, &answer); err != nil {
		return nil, errs.New("%s: %v", address, err)
	}
	return &answer, nil
}

// ownerOf returns the host that owns an idempotency key. Any other host would
// have to relay to it.
func ownerOf(key string, hosts []callers.EntryHost, avoid []string) (callers.EntryHost, bool) {
	owner, _, ok := strings.Cut(key, "-")
	if !ok {
		return callers.EntryHost{}, false
	}
	for _, h := range hosts {
		if strings.HasPrefix(h.IdempotencyPrefix, owner+"-") && !slices.Contains(avoid, h.Address) {
			return h, true
		}
	}
	return callers.EntryHost{}, false
}

// pick chooses a host by weight among those that are not to be avoided, or
// among all if every one is.
func pick(hosts []callers.EntryHost, avoid []string) (callers.EntryHost, bool) {
	left := slices.DeleteFunc(slices.Clone(hosts), func(h callers.EntryHost) bool {
		return slices.Contains(avoid, h.Address)
	})
	if len(left) == 0 {
		left = hosts
	}
	if len(left) == 0 {
		return callers.EntryHost{}, false
	}
	total := 0.0
	for _, h := range left {
		total += h.Weight
	}
	at := rand.Float64() * total
	for _, h := range left {
		if at -= h.Weight; at < 0 {
			return h, true
		}
	}
	return left[rand.IntN(len(left))], true
}
