package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The names of what is measured on whole fleets. "A host" is the fleet's total
// divided by the number of hosts; the store and the targets run in the same
// process, so processor time, memory and allocations hold theirs too.
const (
	stateBytes    = "state B/host"
	peerBytes     = "peers B/s/host"
	peerWrites    = "peers writes/s/host"
	storeBytes    = "store B/s/host"
	storeReads    = "store reads/s/host"
	storeChanges  = "store changes/s/host"
	probeBytes    = "probes B/s/host"
	coreShare     = "core %/host"
	allocations   = "allocations/s/host"
	heapKB        = "heap KB/host"
	inForceMs     = "change in force ms"
	changeBytes   = "change B/host"
	documentBytes = "document B"
)

func fleetMetrics() []string {
	return []string{stateBytes, peerBytes, peerWrites, storeBytes, storeReads, storeChanges, probeBytes,
		coreShare, allocations, heapKB, inForceMs, changeBytes, documentBytes}
}

// The bounds of one fleet's run, and its network, which is no other program's.
const (
	network     = 90
	startBound  = 30 * time.Second
	settle      = 3 * time.Second
	changeBound = 15 * time.Second
	changeCount = 3
	changePause = 300 * time.Millisecond
	pollEvery   = 2 * time.Millisecond
)

// fleetOf returns the measurement of a fleet of which one part is varied.
func fleetOf(vary func(s *shape, x int)) func(context.Context, Config, int) (map[string]float64, error) {
	return func(ctx context.Context, cfg Config, x int) (map[string]float64, error) {
		s := baseShape()
		vary(&s, x)
		run, err := startRun(ctx, cfg, s)
		if err != nil {
			return nil, err
		}
		defer run.stop()
		values := run.atRest(ctx, cfg.Idle)
		if err := run.changes(ctx, values); err != nil {
			return nil, err
		}
		return values, ctx.Err()
	}
}

// run is one running fleet.
type run struct {
	shape   shape
	fleet   *fleet.Fleet
	traffic traffic
	base    uint64
}

// startRun starts a fleet and waits until it has settled.
func startRun(ctx context.Context, cfg Config, s shape) (*run, error) {
	r := &run{shape: s, base: cfg.base}
	f, err := fleet.New(fleet.Config{Document: s.document(), HostsPerRegion: s.perRegion(), Loopback: true, NetworkNumber: network})
	if err != nil {
		return nil, err
	}
	r.fleet = f
	peers := make(map[string]bool)
	for _, n := range f.Nodes() {
		peers[n.Config.PeersAddress] = true
	}
	for _, n := range f.Nodes() {
		n.Config.Checker = nil
		r.traffic.attach(f, n, peers)
	}
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	time.Sleep(settle)
	return r, nil
}

func (r *run) stop() { r.fleet.Stop() }

// usage is what has been used up to now.
type usage struct {
	at         time.Time
	cpu        time.Duration
	mallocs    uint64
	peers      int64
	peerWrites int64
	store      int64
	targets    int64
	reads      int64
	changes    int64
}

func (r *run) usage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	counts := r.fleet.Store.Counts()
	return usage{
		at:         time.Now(),
		cpu:        processTime(),
		mallocs:    m.Mallocs,
		peers:      r.traffic.peers.bytes.Load(),
		peerWrites: r.traffic.peers.writes.Load(),
		store:      r.traffic.store.bytes.Load(),
		targets:    r.traffic.targets.bytes.Load(),
		reads:      counts.TotalReads(),
		changes:    counts.TotalWrites(),
	}
}

// atRest watches the fleet without any caller.
func (r *run) atRest(ctx context.Context, length time.Duration) map[string]float64 {
	before := r.usage()
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
	after := r.usage()
	hosts := float64(r.shape.hosts)
	seconds := after.at.Sub(before.at).Seconds()
	perHost := func(n int64) float64 { return float64(n) / seconds / hosts }
	return map[string]float64{
		stateBytes:   r.stateBytes(),
		peerBytes:    perHost(after.peers - before.peers),
		peerWrites:   perHost(after.peerWrites - before.peerWrites),
		storeBytes:   perHost(after.store - before.store),
		storeReads:   perHost(after.reads - before.reads),
		storeChanges: perHost(after.changes - before.changes),
		probeBytes:   perHost(after.targets - before.targets),
		coreShare:    100 * (after.cpu - before.cpu).Seconds() / seconds / hosts,
		allocations:  perHost(int64(after.mallocs - before.mallocs)),
		heapKB:       (float64(heap()) - float64(r.base)) / hosts / 1024,
	}
}

// stateBytes returns the mean size of what a host says of itself.
func (r *run) stateBytes() float64 {
	total := 0
	for _, n := range r.fleet.Nodes() {
		total += proto.Size(n.Host.Self())
	}
	return float64(total) / float64(r.shape.hosts)
}

// changes stores new revisions one after another and takes the time until each
// is in force on all hosts.
func (r *run) changes(ctx context.Context, values map[string]float64) error {
	perHost := func(u usage) float64 { return float64(u.peers+u.store) / float64(r.shape.hosts) }
	var times []time.Duration
	var used float64
	for i := range changeCount {
		before := r.usage()
		took, err := r.change(ctx, ids.Revision(i+2))
		if err != nil {
			return err
		}
		times = append(times, took)
		time.Sleep(changePause)
		after := r.usage()
		atRest := (values[peerBytes] + values[storeBytes]) * after.at.Sub(before.at).Seconds()
		used += perHost(after) - perHost(before) - atRest
	}
	slices.Sort(times)
	values[inForceMs] = float64(times[len(times)-1].Microseconds()) / 1000
	values[changeBytes] = used / changeCount
	values[documentBytes] = float64(len(r.fleet.DocumentText))
	return nil
}

// change stores the document as a new revision.
func (r *run) change(ctx context.Context, rev ids.Revision) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	doc := r.shape.document()
	if err := json.Unmarshal(r.fleet.DocumentText, doc); err != nil {
		return 0, errs.New("read the document back: %v", err)
	}
	doc.Fleet = fmt.Sprintf("slopes-%d", rev)
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return 0, errs.New("encode the document: %v", err)
	}
	began := time.Now()
	if err := r.fleet.StoreDocument(ctx, rev, text); err != nil {
		return 0, err
	}
	if err := r.inForce(ctx, rev); err != nil {
		return 0, err
	}
	return time.Since(began), nil
}

// inForce returns once all hosts have a revision, or with ctx's error.
func (r *run) inForce(ctx context.Context, rev ids.Revision) error {
	for _, n := range r.fleet.Nodes() {
		for n.Host.Self().GetConfigRevision() < uint64(rev) {
			select {
			case <-time.After(pollEvery):
			case <-ctx.Done():
				return errs.New("revision %d is not in force on %s", rev, n.Config.CallersAddress)
			}
		}
	}
	return nil
}

// processTime returns the processor time of this process, kernel's included.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
