// Package loadsim plays the load of a deployment against the choice of targets:
// real placers of several hosts, targets with slots, queues and objects that are
// warm while few others follow, and callers in waves by region. It runs on the
// clock of the runtime, which tests and the experiment tool advance.
package loadsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/rendezvous"
)

// Zone is an availability zone with its callers and targets.
type Zone struct {
	Name   ids.Zone
	Region ids.Region
	// Targets is the number of targets, and Hosts that of entry hosts.
	Targets, Hosts int
	// Rate is the mean of its callers' requests a second.
	Rate float64
	// Phase shifts the zone's wave, in parts of a period.
	Phase float64
}

// Site is a deployment of one service.
type Site struct {
	Name  string
	Zones []Zone
	// Slots and Kept are a target's slots and the objects that it keeps warm.
	Slots, Kept int
	// Objects is the number of objects of each region.
	Objects int
	// Warm and Cold are the times of work.
	Warm, Cold time.Duration
	// Objective is the latency aimed at, and Deadline the longest wait.
	Objective, Deadline time.Duration
	// Swing is the height of the wave and Period its length.
	Swing  float64
	Period time.Duration
	// Kinds are the kinds of requests; without any, all are look-ups with the times
	// above.
	Kinds []Kind
	// CrossZone and CrossRegion are the ways between zones and regions, one way.
	CrossZone, CrossRegion time.Duration
}

// Kind is one kind of request.
type Kind struct {
	Name string
	// Part is its part of all requests.
	Part float64
	// Warm and Cold are its times of work.
	Warm, Cold time.Duration
	// Objective is the latency aimed at, and Deadline the longest wait.
	Objective, Deadline time.Duration
}

// kinds returns the site's kinds, of which there is one at least.
func (s *Site) kinds() []Kind {
	if len(s.Kinds) > 0 {
		return s.Kinds
	}
	return []Kind{{Name: "look-up", Part: 1, Warm: s.Warm, Cold: s.Cold, Objective: s.Objective, Deadline: s.Deadline}}
}

// pick returns a random kind.
func (s *Site) pick(rnd *rand.Rand) Kind {
	all := s.kinds()
	if len(all) == 1 {
		return all[0]
	}
	place := rnd.Float64()
	for _, k := range all {
		if place -= k.Part; place < 0 {
			return k
		}
	}
	return all[len(all)-1]
}

// Sharing is what hosts know of each other.
type Sharing int

// The ways to share knowledge.
const (
	// Nothing: each host knows its own requests only.
	Nothing Sharing = iota
	// Siblings tell each other every 100 ms.
	Siblings
	// Everything is known to every host at once: the oracle.
	Everything
	// Rights: each slot belongs to one host, which uses no others.
	Rights
)

// String returns the name of a way to share knowledge.
func (s Sharing) String() string {
	return [...]string{"nothing", "siblings", "everything", "rights"}[s]
}

// Result is what became of a run's requests.
type Result struct {
	Asked, InAim, Late, Refused int
	// ByZone holds the share in aim of each zone's callers.
	ByZone map[ids.Zone]float64
	P50    time.Duration
	P99    time.Duration
	// Timeline tells what happened when.
	Timeline *Timeline
}

// Share is the part of the requests that ended within the objective.
func (r Result) Share() float64 { return float64(r.InAim) / float64(max(r.Asked, 1)) }

// String returns the result as one line.
func (r Result) String() string {
	worst := 1.0
	for _, s := range r.ByZone {
		worst = min(worst, s)
	}
	return fmt.Sprintf("asked %6d  in aim %.3f  worst zone %.3f  late %5d  refused %5d  p50 %4d ms  p99 %5d ms",
		r.Asked, r.Share(), worst, r.Late, r.Refused, r.P50.Milliseconds(), r.P99.Milliseconds())
}

// tellInterval is the time between two messages of siblings.
const tellInterval = 100 * time.Millisecond

// run is one play.
type run struct {
	site    Site
	sharing Sharing
	hosts   []*host
	targets map[ids.Target]*target
	regions map[ids.Zone]ids.Region
	begun   time.Time

	mu     sync.Mutex
	rnd    *rand.Rand
	res    Result
	asked  map[ids.Zone]int
	inAim  map[ids.Zone]int
	took   []time.Duration
	active sync.WaitGroup
}

// host is one entry host.
type host struct {
	name   ids.Instance
	zone   ids.Zone
	placer *balancer.Balancer
	told   uint64
}

// Play runs a site for d with load times its rates, and returns what became of the
// requests. The first tenth of the time, in which objects become warm, does not
// count.
func Play(site Site, sharing Sharing, load float64, d time.Duration, rnd *rand.Rand) Result {
	r := &run{
		site: site, sharing: sharing, rnd: rnd, targets: make(map[ids.Target]*target),
		regions: make(map[ids.Zone]ids.Region), asked: make(map[ids.Zone]int), inAim: make(map[ids.Zone]int),
		begun: time.Now(),
	}
	r.res.Timeline = &Timeline{}
	r.build()
	stop := make(chan struct{})
	var telling sync.WaitGroup
	telling.Go(func() { r.watchSlots(stop) })
	if sharing == Siblings {
		telling.Go(func() { r.tellUntil(stop) })
	}
	var callers sync.WaitGroup
	for _, z := range site.Zones {
		callers.Go(func() { r.call(z, load, d) })
	}
	callers.Wait()
	r.active.Wait()
	close(stop)
	telling.Wait()
	return r.result()
}

func (r *run) build() {
	var all []registrar.Target
	for _, z := range r.site.Zones {
		r.regions[z.Name] = z.Region
		for i := range z.Targets {
			id := ids.Target(fmt.Sprintf("%s-%d", z.Name, i))
			r.targets[id] = newTarget(r.site, z.Name)
			all = append(all, registrar.Target{
				ID: id, Service: "s", Zone: z.Name, Slots: r.site.Slots, Address: fmt.Sprintf("10.0.0.%d:%d", i, len(all)+1),
			})
		}
	}
	for _, z := range r.site.Zones {
		for i := range z.Hosts {
			h := &host{name: ids.Instance(fmt.Sprintf("%s-%d", z.Name, i)), zone: z.Name}
			h.placer = balancer.New(balancer.Config{Zone: z.Name, Regions: r.regions})
			r.hosts = append(r.hosts, h)
		}
	}
	for i, h := range r.hosts {
		if r.sharing == Rights {
			h.placer.SetTargets(r.rightsOf(i, all))
		} else {
			h.placer.SetTargets(all)
		}
	}
}

// rightsOf returns the targets of which a host has slots, with those. The slots of
// each target go to the hosts of its region by rendezvous.
func (r *run) rightsOf(host int, all []registrar.Target) []registrar.Target {
	var mine []registrar.Target
	for _, t := range all {
		var near []int
		for i, h := range r.hosts {
			if r.regions[h.zone] == r.regions[t.Zone] {
				near = append(near, i)
			}
		}
		t.Slots = 0
		for n := range r.site.Slots {
			if owner := rendezvous.Pick(fmt.Sprintf("%s/%d", t.ID, n), len(near), 1); near[owner[0]] == host {
				t.Slots++
			}
		}
		if t.Slots > 0 {
			mine = append(mine, t)
		}
	}
	return mine
}

// call sends the requests of one zone's callers.
func (r *run) call(z Zone, load float64, d time.Duration) {
	var near []*host
	for _, h := range r.hosts {
		if h.zone == z.Name {
			near = append(near, h)
		}
	}
	for {
		at := time.Since(r.begun)
		if at >= d {
			return
		}
		wave := 1 + r.site.Swing*math.Sin(2*math.Pi*(at.Seconds()/r.site.Period.Seconds()+z.Phase))
		r.mu.Lock()
		gap := r.rnd.ExpFloat64() / (z.Rate * load * wave)
		h := near[r.rnd.IntN(len(near))]
		object := r.rnd.IntN(r.site.Objects)
		q := request{zone: z, spread: math.Exp(0.15 * r.rnd.NormFloat64()), counts: at > d/10}
		q.kind = r.site.pick(r.rnd)
		r.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		q.object = fmt.Sprintf("%s/%d", z.Region, object)
		r.active.Go(func() { r.request(h, q) })
	}
}

// request is one request of a caller.
type request struct {
	zone   Zone
	kind   Kind
	object string
	// spread multiplies its work.
	spread float64
	// counts says that it is part of the result.
	counts bool
}

// request runs one request to its end.
func (r *run) request(h *host, q request) {
	begun := time.Now()
	name := balancer.HashObject(q.kind.Name, q.object)
	c, err := h.placer.Pick(balancer.Request{
		Service: "s", Class: q.kind.Name, Object: name, Objective: q.kind.Objective, TimeLeft: q.kind.Deadline,
	})
	if err != nil {
		r.record(q, begun, false)
		return
	}
	r.place(q, begun, c.Zone)
	if r.sharing == Everything {
		r.tell()
	}
	way := r.way(q.zone, c.Zone)
	time.Sleep(way)
	ran := r.targets[c.Target].serve(name, q)
	time.Sleep(way)
	c.Done(balancer.Result{Answered: ran, Shed: !ran})
	if r.sharing == Everything {
		r.tell()
	}
	r.record(q, begun, ran)
}

// place notes where a request runs.
func (r *run) place(q request, begun time.Time, to ids.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Timeline.place(begun.Sub(r.begun), q.zone.Region, r.regions[to])
}

func (r *run) way(z Zone, to ids.Zone) time.Duration {
	switch {
	case z.Name == to:
		return 0
	case z.Region == r.regions[to]:
		return r.site.CrossZone
	default:
		return r.site.CrossRegion
	}
}

// record counts a request that has ended.
func (r *run) record(q request, begun time.Time, ran bool) {
	took := time.Since(begun)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Timeline.add(begun.Sub(r.begun), q.kind.Name, q.zone.Name, took, ran)
	if !q.counts {
		return
	}
	r.res.Asked++
	r.asked[q.zone.Name]++
	switch {
	case !ran:
		r.res.Refused++
		return
	case took <= q.kind.Objective:
		r.res.InAim++
		r.inAim[q.zone.Name]++
	default:
		r.res.Late++
	}
	r.took = append(r.took, took)
}

// watchSlots notes how many slots are in use.
func (r *run) watchSlots(stop <-chan struct{}) {
	t := time.NewTicker(tellInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.noteSlots()
		case <-stop:
			return
		}
	}
}

func (r *run) noteSlots() {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.res.Timeline.part(time.Since(r.begun))
	for _, t := range r.targets {
		p.Busy[t.zone] += float64(t.busy()) * tellInterval.Seconds() / step.Seconds()
	}
}

func (r *run) result() Result {
	r.res.ByZone = make(map[ids.Zone]float64)
	for z, n := range r.asked {
		r.res.ByZone[z] = float64(r.inAim[z]) / float64(n)
	}
	slices.Sort(r.took)
	if n := len(r.took); n > 0 {
		r.res.P50, r.res.P99 = r.took[n/2], r.took[n*99/100]
	}
	return r.res
}

func (r *run) tellUntil(stop <-chan struct{}) {
	t := time.NewTicker(tellInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.tell()
		case <-stop:
			return
		}
	}
}

// tell carries what each host does to all others.
func (r *run) tell() {
	r.mu.Lock()
	defer r.mu.Unlock()
	const all = 1 << 10
	for _, from := range r.hosts {
		running := from.placer.InFlight()
		var starts []balancer.Dispatch
		starts, from.told = from.placer.Dispatches(from.told, all)
		for _, to := range r.hosts {
			if to != from {
				to.placer.Merge(ids.HostGroup(from.name), running, starts)
			}
		}
	}
}
