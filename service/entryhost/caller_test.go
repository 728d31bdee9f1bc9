package entryhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// attempt is the result of one request at its caller.
type attempt struct {
	id            string
	key           string
	status        int
	outcome       string
	wrongResponse bool
}

// audit compares the outcomes that callers received with the targets' records.
type audit struct {
	mu        sync.Mutex
	attempts  []attempt
	truncated int
}

func (a *audit) add(at attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts = append(a.attempts, at)
}

// check asserts that all outcomes are true, that each idempotency key ran at most
// once, that no target had more requests than slots, and that no target received a
// workspace's key.
func (a *audit) check(t *testing.T, fl *fleet.Fleet) {
	t.Helper()
	runs := make(map[string]int)
	runsByKey := make(map[string]int)
	for name, tg := range fl.Targets {
		s := tg.Stats()
		for id, n := range s.RunsByID {
			runs[id] += n
		}
		for key, n := range s.RunsByKey {
			runsByKey[key] += n
		}
		if s.OverSlots > 0 {
			t.Errorf("target %s got %d requests over its slots", name, s.OverSlots)
		}
		if s.SecretsSeen > 0 {
			t.Errorf("target %s received a workspace's key", name)
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	counts := make(map[string]int)
	for _, at := range a.attempts {
		counts[fmt.Sprint(at.status, " ", at.outcome)]++
		switch {
		case at.wrongResponse:
			t.Errorf("request %s got another request's response", at.id)
		case at.outcome == "notRun" && runs[at.id] > 0:
			t.Errorf("request %s ran but got notRun with status %d", at.id, at.status)
		case at.outcome == "ran" && at.key == "" && runs[at.id] == 0:
			t.Errorf("request %s did not run but got ran", at.id)
		case at.outcome == "ran" && at.key != "" && runsByKey[at.key] == 0:
			t.Errorf("payment %s did not run but got ran", at.id)
		case at.status > 0 && at.outcome == "":
			t.Errorf("request %s has no outcome with status %d", at.id, at.status)
		}
	}
	t.Logf("%d requests: %v; truncated: %d", len(a.attempts), counts, a.truncated)
	if counts["200 ran"] < len(a.attempts)/4 {
		t.Errorf("only %d of %d requests ran", counts["200 ran"], len(a.attempts))
	}
}

// randomCaller sends requests of one workspace from one region.
type randomCaller struct {
	fl            *fleet.Fleet
	audit         *audit
	workspace     ids.Workspace
	region        ids.Region
	rate          float64
	rng           *rand.Rand
	hosts         []callers.EntryHost
	hostsExpireAt time.Time
	requestCount  int
}

func (c *randomCaller) run(ctx context.Context) {
	tr := c.fl.Transport(c.fl.ClientIP(c.region))
	defer tr.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-time.After(time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		host, ok := c.chooseHost(ctx, tr)
		if !ok {
			continue
		}
		c.requestCount++
		id := fmt.Sprintf("%s-%s-%d", c.workspace, c.region, c.requestCount)
		payment := c.rng.IntN(4) == 0
		wg.Go(func() { c.send(tr, host, id, payment) })
	}
}

// chooseHost picks a host from a look-up response, which is cached for its TTL.
func (c *randomCaller) chooseHost(ctx context.Context, tr *http.Transport) (callers.EntryHost, bool) {
	if time.Now().After(c.hostsExpireAt) {
		nodes := c.fl.Nodes()
		node := nodes[c.rng.IntN(len(nodes))]
		ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet,
			fmt.Sprintf("http://%s/v1/lookup?service=shop&region=%s", node.Config.CallersAddress, c.region), nil)
		if err != nil {
			return callers.EntryHost{}, false
		}
		resp, err := tr.RoundTrip(r)
		if err == nil {
			var lookup callers.LookupResponse
			if err := json.NewDecoder(resp.Body).Decode(&lookup); err == nil && len(lookup.EntryHosts) > 0 {
				c.hosts = lookup.EntryHosts
				c.hostsExpireAt = time.Now().Add(time.Duration(lookup.TTLMs) * time.Millisecond)
			}
			_ = resp.Body.Close()
		}
	}
	if len(c.hosts) == 0 {
		return callers.EntryHost{}, false
	}
	return c.hosts[c.rng.IntN(len(c.hosts))], true
}

// send sends one request. A payment with an unknown outcome is retried at another
// host with the same key.
func (c *randomCaller) send(tr *http.Transport, host callers.EntryHost, id string, payment bool) {
	if !payment {
		c.attempt(tr, host.Address, "/s/shop/stock", id, "")
		return
	}
	key := host.IdempotencyPrefix + "." + id
	for try := range 3 {
		at := c.attempt(tr, host.Address, "/s/till/pay", fmt.Sprintf("%s-%d", id, try), key)
		if at.outcome == "ran" || at.outcome == "notRun" {
			return
		}
		nodes := c.fl.Nodes()
		host.Address = nodes[(len(id)+try)%len(nodes)].Config.CallersAddress
	}
}

// attempt sends one request and adds its result to the audit.
func (c *randomCaller) attempt(tr *http.Transport, address, path, id, key string) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	at := attempt{id: id, key: key}
	defer func() { c.audit.add(at) }()
	method := http.MethodGet
	var body io.Reader
	if key != "" {
		method = http.MethodPost
		body = strings.NewReader("blazer")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return at
	}
	r.Header.Set("Authorization", "Bearer "+c.fl.Keys[c.workspace])
	r.Header.Set(target.HeaderRequestID, id)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return at
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.audit.mu.Lock()
		c.audit.truncated++
		c.audit.mu.Unlock()
		return at
	}
	at.status = resp.StatusCode
	at.outcome = resp.Header.Get("Gypsum-Outcome")
	if at.status == http.StatusOK {
		var reply target.Reply
		at.wrongResponse = json.Unmarshal(firstLine(b), &reply) != nil || !isResponseTo(reply.RequestID, id, key)
	}
	return at
}

// isResponseTo reports whether a response with the request id responseID is valid
// for the request id: they are equal or, with a key, two attempts of one payment.
func isResponseTo(responseID, id, key string) bool {
	if key == "" {
		return responseID == id
	}
	prefixLength := strings.LastIndexByte(id, '-') + 1
	return len(responseID) >= prefixLength && responseID[:prefixLength] == id[:prefixLength]
}

func firstLine(b []byte) []byte {
	line, _, _ := strings.Cut(string(b), "\n")
	return []byte(line)
}
