package slopes

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// The metrics and parameters of the series lookups, which sends look-ups over HTTP.
const (
	lookupRate           = "look-ups/s answered"
	lookupCorePercent    = "core % above rest"
	lookupBytes          = "answer B"
	lookupAllocationRate = "allocations/s above rest"
	lookupCoreMicros     = "core us/look-up"
	lookupClients        = 8
	lookupDuration       = 2 * time.Second
)

func lookupMetrics() []string {
	return []string{lookupRate, lookupCorePercent, lookupCoreMicros, lookupBytes, lookupAllocationRate}
}

// measureLookups sends look-ups to one host of an 11-host fleet at a rate in
// requests per second. The clients run in the same process, so that the CPU time and
// the allocations include theirs.
func measureLookups(ctx context.Context, cfg Config, rate int) (map[string]float64, error) {
	s := baseSize()
	s.hosts = 11
	r, err := startFleet(ctx, cfg, s)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	idle := r.measureIdle(ctx, cfg.Idle)
	l := &lookupLoad{
		url:    "http://" + r.fleet.Nodes()[0].Config.CallersAddress + "/v1/lookup?service=" + string(serviceName(0)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: lookupClients}},
	}
	before := r.usage()
	l.run(ctx, rate)
	after := r.usage()
	if n := l.failed.Load(); n > 0 {
		return nil, errs.New("%d look-ups failed", n)
	}
	seconds := after.time.Sub(before.time).Seconds()
	answered := float64(l.answered.Load())
	core := 100*(after.cpu-before.cpu).Seconds()/seconds - idle[corePercent]*float64(s.hosts)
	const microsecondsPerPercent = 1e4
	return map[string]float64{
		lookupRate:           answered / seconds,
		lookupCorePercent:    core,
		lookupCoreMicros:     core * microsecondsPerPercent / (answered / seconds),
		lookupBytes:          float64(l.bytes.Load()) / answered,
		lookupAllocationRate: float64(after.mallocs-before.mallocs)/seconds - idle[allocationRate]*float64(s.hosts),
	}, nil
}

// lookupLoad sends look-ups to one host and counts the results.
type lookupLoad struct {
	url      string
	client   *http.Client
	answered atomic.Int64
	failed   atomic.Int64
	bytes    atomic.Int64
}

// run sends look-ups for lookupDuration from lookupClients clients, at an evenly
// spaced rate. A client that got a late response catches up with its schedule.
func (l *lookupLoad) run(ctx context.Context, rate int) {
	ctx, cancel := context.WithTimeout(ctx, lookupDuration)
	defer cancel()
	var wg sync.WaitGroup
	began := time.Now()
	gap := time.Duration(float64(time.Second) * lookupClients / float64(rate))
	for range lookupClients {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
				l.send(ctx)
			}
		})
	}
	wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *lookupLoad) send(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		l.failed.Add(1)
		return
	}
	resp, err := l.client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			l.failed.Add(1)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // The body was read to its end.
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case ctx.Err() != nil:
	case err != nil || resp.StatusCode != http.StatusOK:
		l.failed.Add(1)
	default:
		l.answered.Add(1)
		l.bytes.Add(n)
	}
}
