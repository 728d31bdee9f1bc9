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

// attempt is what a caller knows of one request.
type attempt struct {
	id      string
	key     string
	status  int
	outcome string
	crossed bool
}

// audit compares what callers were told with what targets recorded.
type audit struct {
	mu       sync.Mutex
	attempts []attempt
	cut      int
}

func (a *audit) add(at attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts = append(a.attempts, at)
}

// check asserts the truth of outcomes, at most one run of each key, slots kept,
// and that no target saw a workspace's key.
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
			t.Errorf("target %s saw a workspace's key", name)
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
		case at.crossed:
			t.Errorf("request %s got another request's answer", at.id)
		case at.outcome == "notRun" && runs[at.id] > 0:
			t.Errorf("request %s ran but was told notRun with %d", at.id, at.status)
		case at.outcome == "ran" && at.key == "" && runs[at.id] == 0:
			t.Errorf("request %s did not run but was told ran", at.id)
		case at.outcome == "ran" && at.key != "" && runsByKey[at.key] == 0:
			t.Errorf("payment %s did not run but was told ran", at.id)
		case at.status > 0 && at.outcome == "":
			t.Errorf("request %s has no outcome with status %d", at.id, at.status)
		}
	}
	t.Logf("%d requests: %v; cut: %d", len(a.attempts), counts, a.cut)
	if counts["200 ran"] < len(a.attempts)/4 {
		t.Errorf("only %d of %d requests ran", counts["200 ran"], len(a.attempts))
	}
}

// randomCaller sends requests of one workspace from one region.
type randomCaller struct {
	fl        *fleet.Fleet
	audit     *audit
	workspace ids.Workspace
	region    ids.Region
	rate      float64
	rng       *rand.Rand
	hosts     []callers.EntryHost
	until     time.Time
	n         int
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
		host, ok := c.choose(ctx, tr)
		if !ok {
			continue
		}
		c.n++
		id := fmt.Sprintf("%s-%s-%d", c.workspace, c.region, c.n)
		payment := c.rng.IntN(4) == 0
		wg.Go(func() { c.send(tr, host, id, payment) })
	}
}

// choose picks a host of a look-up's answer, which is kept for its lifetime.
func (c *randomCaller) choose(ctx context.Context, tr *http.Transport) (callers.EntryHost, bool) {
	if time.Now().After(c.until) {
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
			var answer callers.LookupResponse
			if err := json.NewDecoder(resp.Body).Decode(&answer); err == nil && len(answer.EntryHosts) > 0 {
				c.hosts = answer.EntryHosts
				c.until = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
			}
			_ = resp.Body.Close()
		}
	}
	if len(c.hosts) == 0 {
		return callers.EntryHost{}, false
	}
	return c.hosts[c.rng.IntN(len(c.hosts))], true
}

// send sends one request; a payment whose fate is unclear is sent again, to
// another host, with the same key.
func (c *randomCaller) send(tr *http.Transport, host callers.EntryHost, id string, payment bool) {
	if !payment {
		c.one(tr, host.Address, "/s/shop/stock", id, "")
		return
	}
	key := host.IdempotencyPrefix + "." + id
	for try := range 3 {
		at := c.one(tr, host.Address, "/s/till/pay", fmt.Sprintf("%s-%d", id, try), key)
		if at.outcome == "ran" || at.outcome == "notRun" {
			return
		}
		nodes := c.fl.Nodes()
		host.Address = nodes[(len(id)+try)%len(nodes)].Config.CallersAddress
	}
}

func (c *randomCaller) one(tr *http.Transport, address, path, id, key string) attempt {
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
		c.audit.cut++
		c.audit.mu.Unlock()
		return at
	}
	at.status = resp.StatusCode
	at.outcome = resp.Header.Get("Gypsum-Outcome")
	if at.status == http.StatusOK {
		var reply target.Reply
		at.crossed = json.Unmarshal(firstLine(b), &reply) != nil || !answers(reply.RequestID, id, key)
	}
	return at
}

// answers reports whether an answer is to the request, or to another try of the
// same payment.
func answers(answered, id, key string) bool {
	if key == "" {
		return answered == id
	}
	of := strings.LastIndexByte(id, '-') + 1
	return len(answered) >= of && answered[:of] == id[:of]
}

func firstLine(b []byte) []byte {
	line, _, _ := strings.Cut(string(b), "\n")
	return []byte(line)
}
