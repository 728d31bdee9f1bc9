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

// The metrics of running fleets. Values per host are the fleet's total divided by
// the number of hosts. The store and the targets run in the same process, so that
// CPU time, heap and allocations include theirs.
const (
	stateBytes      = "state B/host"
	peerBytes       = "peers B/s/host"
	peerWrites      = "peers writes/s/host"
	storeBytes      = "store B/s/host"
	storeReads      = "store reads/s/host"
	storeWriteRate  = "store changes/s/host"
	probeBytes      = "probes B/s/host"
	corePercent     = "core %/host"
	allocationRate  = "allocations/s/host"
	heapKB          = "heap KB/host"
	changeInForceMs = "change in force ms"
	changeBytes     = "change B/host"
	documentBytes   = "document B"
)

func fleetMetrics() []string {
	return []string{stateBytes, peerBytes, peerWrites, storeBytes, storeReads, storeWriteRate, probeBytes,
		corePercent, allocationRate, heapKB, changeInForceMs, changeBytes, documentBytes}
}

// The parameters of one fleet's measurement. Its networkNumber must differ from those
// of other fleets on the machine.
const (
	networkNumber  = 90
	startTimeout   = 30 * time.Second
	settleTime     = 3 * time.Second
	changeTimeout  = 15 * time.Second
	changeCount    = 3
	changeInterval = 300 * time.Millisecond
	pollInterval   = 2 * time.Millisecond
)

// measureFleet returns a function that measures a fleet of baseSize as changed by
// set for x.
func measureFleet(set func(size *fleetSize, x int)) func(context.Context, Config, int) (map[string]float64, error) {
	return func(ctx context.Context, cfg Config, x int) (map[string]float64, error) {
		size := baseSize()
		set(&size, x)
		f, err := startFleet(ctx, cfg, size)
		if err != nil {
			return nil, err
		}
		defer f.stop()
		values := f.measureIdle(ctx, cfg.Idle)
		if err := f.measureChanges(ctx, values); err != nil {
			return nil, err
		}
		return values, ctx.Err()
	}
}

// measuredFleet is a running fleet with counters of its traffic.
type measuredFleet struct {
	size     fleetSize
	fleet    *fleet.Fleet
	traffic  traffic
	baseHeap uint64
}

// startFleet starts a fleet and waits settleTime for a steady state. The caller must
// call stop.
func startFleet(ctx context.Context, cfg Config, s fleetSize) (*measuredFleet, error) {
	r := &measuredFleet{size: s, baseHeap: cfg.baseHeap}
	f, err := fleet.New(fleet.Config{Document: s.document(), HostsPerRegion: s.hostsPerRegion(), Loopback: true, NetworkNumber: networkNumber})
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
		r.traffic.countConnections(f, n, peers)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return r, nil
}

func (r *measuredFleet) stop() { r.fleet.Stop() }

// usage is the resources that the fleet has used until a time.
type usage struct {
	time        time.Time
	cpu         time.Duration
	mallocs     uint64
	peerBytes   int64
	peerWrites  int64
	storeBytes  int64
	targetBytes int64
	storeReads  int64
	storeWrites int64
}

func (r *measuredFleet) usage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	counts := r.fleet.Store.Counts()
	return usage{
		time:        time.Now(),
		cpu:         processTime(),
		mallocs:     m.Mallocs,
		peerBytes:   r.traffic.peers.bytes.Load(),
		peerWrites:  r.traffic.peers.writes.Load(),
		storeBytes:  r.traffic.store.bytes.Load(),
		targetBytes: r.traffic.targets.bytes.Load(),
		storeReads:  counts.TotalReads(),
		storeWrites: counts.TotalWrites(),
	}
}

// measureIdle measures the fleet without callers for a duration, or until ctx is
// done.
func (r *measuredFleet) measureIdle(ctx context.Context, duration time.Duration) map[string]float64 {
	before := r.usage()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	after := r.usage()
	hosts := float64(r.size.hosts)
	seconds := after.time.Sub(before.time).Seconds()
	perHost := func(n int64) float64 { return float64(n) / seconds / hosts }
	return map[string]float64{
		stateBytes:     r.stateBytes(),
		peerBytes:      perHost(after.peerBytes - before.peerBytes),
		peerWrites:     perHost(after.peerWrites - before.peerWrites),
		storeBytes:     perHost(after.storeBytes - before.storeBytes),
		storeReads:     perHost(after.storeReads - before.storeReads),
		storeWriteRate: perHost(after.storeWrites - before.storeWrites),
		probeBytes:     perHost(after.targetBytes - before.targetBytes),
		corePercent:    100 * (after.cpu - before.cpu).Seconds() / seconds / hosts,
		allocationRate: perHost(int64(after.mallocs - before.mallocs)),
		heapKB:         (float64(heapInUse()) - float64(r.baseHeap)) / hosts / 1024,
	}
}

// stateBytes returns the mean encoded size of a host's state.
func (r *measuredFleet) stateBytes() float64 {
	total := 0
	for _, n := range r.fleet.Nodes() {
		total += proto.Size(n.Host.Self())
	}
	return float64(total) / float64(r.size.hosts)
}

// measureChanges stores changeCount new revisions one after another. It adds to
// values the longest time until a revision was in force on all hosts, and the mean
// traffic of a change above that of the idle fleet.
func (r *measuredFleet) measureChanges(ctx context.Context, values map[string]float64) error {
	perHost := func(u usage) float64 { return float64(u.peerBytes+u.storeBytes) / float64(r.size.hosts) }
	var times []time.Duration
	var used float64
	for i := range changeCount {
		before := r.usage()
		elapsed, err := r.applyChange(ctx, ids.Revision(i+2))
		if err != nil {
			return err
		}
		times = append(times, elapsed)
		time.Sleep(changeInterval)
		after := r.usage()
		idle := (values[peerBytes] + values[storeBytes]) * after.time.Sub(before.time).Seconds()
		used += perHost(after) - perHost(before) - idle
	}
	slices.Sort(times)
	values[changeInForceMs] = float64(times[len(times)-1].Microseconds()) / 1000
	values[changeBytes] = used / changeCount
	values[documentBytes] = float64(len(r.fleet.DocumentText))
	return nil
}

// applyChange stores the document as a new revision, and returns the time until it
// is in force on all hosts.
func (r *measuredFleet) applyChange(ctx context.Context, rev ids.Revision) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	doc := r.size.document()
	if err := json.Unmarshal(r.fleet.DocumentText, doc); err != nil {
		return 0, errs.New("decode the fleet's document: %v", err)
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
	if err := r.waitForRevision(ctx, rev); err != nil {
		return 0, err
	}
	return time.Since(began), nil
}

// waitForRevision waits until a revision is in force on all hosts. It returns an
// error if ctx is done before.
func (r *measuredFleet) waitForRevision(ctx context.Context, rev ids.Revision) error {
	for _, n := range r.fleet.Nodes() {
		for n.Host.Self().GetConfigRevision() < uint64(rev) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return errs.New("revision %d is not in force on %s", rev, n.Config.CallersAddress)
			}
		}
	}
	return nil
}

// processTime returns the CPU time of this process in user and kernel mode, or 0 if
// it cannot be read.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse runs a garbage collection and returns the bytes of the live heap.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
