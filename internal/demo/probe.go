package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// probeInterval is the time between two probes of a host.
const probeInterval = 250 * time.Millisecond

// keyProbes sends requests with a workspace's key to every entry host, over an open
// connection to each. They show when hosts refuse a key after its revocation.
type keyProbes struct {
	d      *Demo
	key    string
	kind   *requestKind
	hosts  []*probedHost
	rounds int
}

type probedHost struct {
	node      *fleet.Node
	transport *recordingTransport
}

// newKeyProbes returns probes of the hosts that run.
func (d *Demo) newKeyProbes(ws ids.Workspace) *keyProbes {
	p := &keyProbes{d: d, key: d.fleet.Keys[ws]}
	for i := range d.deployment.kinds {
		if k := &d.deployment.kinds[i]; !k.open && k.method == http.MethodGet {
			p.kind = k
		}
	}
	for _, n := range d.fleet.Nodes() {
		if !d.fleet.Running(n) {
			continue
		}
		t := d.fleet.Transport(d.fleet.ClientIP(n.Config.Region))
		d.addTransport(t)
		p.hosts = append(p.hosts, &probedHost{n, &recordingTransport{
			base: t, recorder: &d.recorder, workspace: ws, region: n.Config.Region, keyed: true,
		}})
	}
	return p
}

// run sends probes every probeInterval until ctx ends or the given time.
func (p *keyProbes) run(ctx context.Context, until time.Time) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for time.Now().Before(until) {
		select {
		case <-tick.C:
			p.send(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// send sends a probe to each host that runs, and waits for the responses.
func (p *keyProbes) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	p.rounds++
	var wg sync.WaitGroup
	for i, h := range p.hosts {
		if p.d.fleet.Running(h.node) {
			wg.Go(func() { p.probe(ctx, h, fmt.Sprintf("probe-%d-%d", i, p.rounds)) })
		}
	}
	wg.Wait()
}

// probe sends one probe. The transport records the result.
func (p *keyProbes) probe(ctx context.Context, h *probedHost, id string) {
	url := "http://" + h.node.Config.CallersAddress + "/s/" + string(p.kind.service) + p.kind.path
	r, err := http.NewRequestWithContext(ctx, p.kind.method, url, nil)
	if err != nil {
		p.d.progressf("probe: %v", err)
		return
	}
	r.Header.Set("Authorization", "Bearer "+p.key)
	r.Header.Set(target.HeaderRequestID, id)
	resp, err := h.transport.RoundTrip(r)
	if err != nil {
		return // the transport has recorded the error
	}
	// The transport records a truncated body.
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
