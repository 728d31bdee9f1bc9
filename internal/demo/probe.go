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

// probeInterval is the time between two probes of one host.
const probeInterval = 250 * time.Millisecond

// probes uses one workspace's key at every entry host, each over a connection
// of its own that stays open.
type probes struct {
	d     *Demo
	key   string
	kind  *kind
	hosts []*probedHost
	n     int
}

type probedHost struct {
	node *fleet.Node
	wire *wire
}

// newProbes returns probes of the hosts that run.
func (d *Demo) newProbes(ws ids.Workspace) *probes {
	p := &probes{d: d, key: d.fleet.Keys[ws]}
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
		p.hosts = append(p.hosts, &probedHost{n, &wire{
			base: t, recorder: &d.recorder, workspace: ws, region: n.Config.Region, keyed: true,
		}})
	}
	return p
}

// run sends probes until ctx ends or the time has come.
func (p *probes) run(ctx context.Context, until time.Time) {
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

// send sends one probe to each host that runs, and waits for the answers.
func (p *probes) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	p.n++
	var wg sync.WaitGroup
	for i, h := range p.hosts {
		if p.d.fleet.Running(h.node) {
			wg.Go(func() { p.ask(ctx, h, fmt.Sprintf("probe-%d-%d", i, p.n)) })
		}
	}
	wg.Wait()
}

// ask sends one probe. The wire records what comes of it.
func (p *probes) ask(ctx context.Context, h *probedHost, id string) {
	url := "http://" + h.node.Config.CallersAddress + "/s/" + string(p.kind.service) + p.kind.path
	r, err := http.NewRequestWithContext(ctx, p.kind.method, url, nil)
	if err != nil {
		p.d.progress("probe: %v", err)
		return
	}
	r.Header.Set("Authorization", "Bearer "+p.key)
	r.Header.Set(target.HeaderRequestID, id)
	resp, err := h.wire.RoundTrip(r)
	if err != nil {
		return // It is recorded.
	}
	// A cut body is recorded as such.
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
