// Package loadsim simulates how the hosts of a deployment choose targets, with one
// pkg/balancer per host. Targets have slots, queues and a limited number of warm
// objects, and the callers' rate follows a sine wave in each zone.
//
// Run simulates one Deployment and returns a Result; Args.Run prints a table of
// all deployments. Both use the runtime's clock, so that tests call Run inside a
// testing/synctest bubble.
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

// Zone is an availability zone with its callers, hosts and targets.
type Zone struct {
	Name   ids.Zone
	Region ids.Region
	// Targets and Hosts are the numbers of targets and of entry hosts.
	Targets, Hosts int
	// Rate is the mean rate of its callers, in requests per second.
	Rate float64
	// Phase is the offset of the zone's wave, as a fraction of a period.
	Phase float64
}

// Deployment is the configuration of a simulation with one service.
type Deployment struct {
	Name  string
	Zones []Zone
	// Slots and WarmObjects are the numbers of a target's slots and of the objects
	// that it keeps warm.
	Slots, WarmObjects int
	// ObjectsPerRegion is the number of objects that each region's callers request.
	ObjectsPerRegion int
	// WarmTime and ColdTime are the mean service times for a warm and a cold object.
	WarmTime, ColdTime time.Duration
	// Objective is the latency objective, and Deadline the time limit of a request.
	Objective, Deadline time.Duration
	// Amplitude is that of the wave, as a fraction of Rate, and Period its length.
	Amplitude float64
	Period    time.Duration
	// Classes are the classes of requests. If there are none, all requests are
	// look-ups with the times above.
	Classes []Class
	// CrossZoneDelay and CrossRegionDelay are the one-way network delays between the
	// zones of a region and between regions.
	CrossZoneDelay, CrossRegionDelay time.Duration
	// Speed is how the speed of the targets changes, and Fault a fault of them.
	Speed Speed
	Fault Fault
	// Retries is the number of times that a refused request is sent to another target.
	Retries int
}

// Class is a class of requests.
type Class struct {
	Name string
	// Share is its fraction of all requests.
	Share float64
	// WarmTime and ColdTime are the mean service times for a warm and a cold object.
	WarmTime, ColdTime time.Duration
	// Objective is the latency objective, and Deadline the time limit of a request.
	Objective, Deadline time.Duration
}

// classList returns the classes of requests, at least one.
func (d *Deployment) classList() []Class {
	if len(d.Classes) > 0 {
		return d.Classes
	}
	return []Class{{Name: "look-up", Share: 1, WarmTime: d.WarmTime, ColdTime: d.ColdTime, Objective: d.Objective, Deadline: d.Deadline}}
}

// randomClass returns a class drawn by the classes' shares.
func (d *Deployment) randomClass(rnd *rand.Rand) Class {
	classes := d.classList()
	if len(classes) == 1 {
		return classes[0]
	}
	x := rnd.Float64()
	for _, class := range classes {
		if x -= class.Share; x < 0 {
			return class
		}
	}
	return classes[len(classes)-1]
}

// Sharing is how hosts share what they know of the targets' load.
type Sharing int

const (
	// NoSharing means that each host knows only its own requests.
	NoSharing Sharing = iota
	// SiblingSharing means that hosts exchange their state every exchangeInterval, as
	// service/siblings does.
	SiblingSharing
	// InstantSharing means that every host knows all requests without delay: the
	// oracle to compare with.
	InstantSharing
	// PartitionedSlots means that each slot belongs to one host, which uses no others.
	PartitionedSlots
)

// String returns the name that the table prints.
func (s Sharing) String() string {
	return [...]string{"nothing", "siblings", "everything", "rights"}[s]
}

// Result counts the outcomes of a simulation's requests.
type Result struct {
	// OnTime requests were answered within the objective, Late ones after it.
	Requests, OnTime, Late, Refused int
	// OnTimeByZone is the fraction of requests on time, by their callers' zone.
	OnTimeByZone map[ids.Zone]float64
	// P50 and P99 are percentiles of the answered requests' latencies.
	P50 time.Duration
	P99 time.Duration
	// Timeline holds the outcomes over time.
	Timeline *Timeline
}

// OnTimeShare returns the fraction of the requests answered within the objective.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

// String returns the result as one line.
func (r Result) String() string {
	worst := 1.0
	for _, s := range r.OnTimeByZone {
		worst = min(worst, s)
	}
	return fmt.Sprintf("asked %6d  in aim %.3f  worst zone %.3f  late %5d  refused %5d  p50 %4d ms  p99 %5d ms",
		r.Requests, r.OnTimeShare(), worst, r.Late, r.Refused, r.P50.Milliseconds(), r.P99.Milliseconds())
}

// exchangeInterval is the time between two exchanges of the hosts' state, and
// between two samples of the slots in use.
const exchangeInterval = 100 * time.Millisecond

// simulation is the state of one Run.
type simulation struct {
	deployment Deployment
	sharing    Sharing
	hosts      []*host
	targets    map[ids.Target]*target
	regions    map[ids.Zone]ids.Region
	began      time.Time

	mu     sync.Mutex
	rnd    *rand.Rand
	result Result
	// requests and onTime count the measured requests by their callers' zone.
	requests  map[ids.Zone]int
	onTime    map[ids.Zone]int
	latencies []time.Duration
	active    sync.WaitGroup
}

// host is one entry host.
type host struct {
	name     ids.Instance
	zone     ids.Zone
	balancer *balancer.Balancer
	// nextDispatch is the number of the first dispatch that is not merged into the
	// other hosts yet.
	nextDispatch uint64
}

// Run simulates a deployment for a duration, with its rates multiplied by load.
// The first tenth, in which objects become warm, does not count in the Result.
func Run(d Deployment, sharing Sharing, load float64, duration time.Duration, rnd *rand.Rand) Result {
	r := &simulation{
		deployment: d, sharing: sharing, rnd: rnd, targets: make(map[ids.Target]*target),
		regions: make(map[ids.Zone]ids.Region), requests: make(map[ids.Zone]int), onTime: make(map[ids.Zone]int),
		began: time.Now(),
	}
	r.result.Timeline = &Timeline{}
	r.build()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { r.sampleSlotsUntil(stop) })
	if sharing == SiblingSharing {
		background.Go(func() { r.exchangeUntil(stop) })
	}
	var callers sync.WaitGroup
	for _, z := range d.Zones {
		callers.Go(func() { r.generateRequests(z, load, duration) })
	}
	callers.Wait()
	r.active.Wait()
	close(stop)
	background.Wait()
	return r.computeResult()
}

// build creates the targets and hosts.
func (r *simulation) build() {
	var all []registrar.Target
	for _, z := range r.deployment.Zones {
		r.regions[z.Name] = z.Region
		for i := range z.Targets {
			id := ids.Target(fmt.Sprintf("%s-%d", z.Name, i))
			r.targets[id] = newTarget(r.deployment, id, z.Name, r.began)
			all = append(all, registrar.Target{
				ID: id, Service: "s", Zone: z.Name, Slots: r.deployment.Slots, Address: fmt.Sprintf("10.0.0.%d:%d", i, len(all)+1),
			})
		}
	}
	for _, z := range r.deployment.Zones {
		for i := range z.Hosts {
			h := &host{name: ids.Instance(fmt.Sprintf("%s-%d", z.Name, i)), zone: z.Name}
			h.balancer = balancer.New(balancer.Config{Zone: z.Name, Regions: r.regions})
			r.hosts = append(r.hosts, h)
		}
	}
	for i, h := range r.hosts {
		if r.sharing == PartitionedSlots {
			h.balancer.SetTargets(r.partition(i, all))
		} else {
			h.balancer.SetTargets(all)
		}
	}
}

// partition returns the targets of which the host with index host owns slots, with
// Slots set to the number that it owns. Rendezvous hashing assigns the slots of a
// target to the hosts of its region.
func (r *simulation) partition(host int, all []registrar.Target) []registrar.Target {
	var own []registrar.Target
	for _, t := range all {
		var hosts []int
		for i, h := range r.hosts {
			if r.regions[h.zone] == r.regions[t.Zone] {
				hosts = append(hosts, i)
			}
		}
		t.Slots = 0
		for n := range r.deployment.Slots {
			if owner := rendezvous.Pick(fmt.Sprintf("%s/%d", t.ID, n), len(hosts), 1); hosts[owner[0]] == host {
				t.Slots++
			}
		}
		if t.Slots > 0 {
			own = append(own, t)
		}
	}
	return own
}

// generateRequests sends the requests of one zone's callers until duration d has
// passed.
func (r *simulation) generateRequests(z Zone, load float64, d time.Duration) {
	var hosts []*host
	for _, h := range r.hosts {
		if h.zone == z.Name {
			hosts = append(hosts, h)
		}
	}
	for {
		elapsed := time.Since(r.began)
		if elapsed >= d {
			return
		}
		wave := 1 + r.deployment.Amplitude*math.Sin(2*math.Pi*(elapsed.Seconds()/r.deployment.Period.Seconds()+z.Phase))
		r.mu.Lock()
		gap := r.rnd.ExpFloat64() / (z.Rate * load * wave)
		h := hosts[r.rnd.IntN(len(hosts))]
		object := r.rnd.IntN(r.deployment.ObjectsPerRegion)
		q := request{zone: z, workFactor: math.Exp(0.15 * r.rnd.NormFloat64()), measured: elapsed > d/10}
		q.class = r.deployment.randomClass(r.rnd)
		r.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		q.object = fmt.Sprintf("%s/%d", z.Region, object)
		r.active.Go(func() { r.process(h, q) })
	}
}

// request is one request of a caller.
type request struct {
	zone   Zone
	class  Class
	object string
	// workFactor multiplies its service time, with a log-normal distribution.
	workFactor float64
	// measured means that the request counts in the Result.
	measured bool
}

// process sends one request through host h and records its outcome.
func (r *simulation) process(h *host, q request) {
	began := time.Now()
	object := balancer.HashObject(q.class.Name, q.object)
	wanted := balancer.Request{Service: "s", Class: q.class.Name, Object: object, Objective: q.class.Objective}
	answered := false
	for n := 0; n <= r.deployment.Retries && !answered; n++ {
		wanted.TimeLeft = q.class.Deadline - time.Since(began)
		c, err := h.balancer.Pick(wanted)
		if err != nil {
			break
		}
		if n == 0 {
			r.recordPlacement(q, began, c.Zone)
		}
		answered = r.send(c, object, q)
		wanted.Avoid = append(wanted.Avoid, c.Target)
	}
	r.record(q, began, answered)
}

// send sends a request to a target, and reports whether it answered.
func (r *simulation) send(c *balancer.Choice, object balancer.ObjectHash, q request) bool {
	if r.sharing == InstantSharing {
		r.exchange()
	}
	delay := r.delay(q.zone, c.Zone)
	time.Sleep(delay)
	answered, warm, report := r.targets[c.Target].serve(object, q)
	if answered {
		r.recordWork(c.Warm, warm)
	}
	time.Sleep(delay)
	c.Done(balancer.Result{Answered: answered, Shed: !answered, LoadReport: report})
	if r.sharing == InstantSharing {
		r.exchange()
	}
	return answered
}

// recordWork records the end of work on an object, which the host believed to be warm, and
// whether it was.
func (r *simulation) recordWork(believed, warm bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := r.result.Timeline.at(time.Since(r.began))
	interval.Served++
	if warm {
		interval.Warm++
	}
	if warm == believed {
		interval.BelievedRight++
	}
}

// recordPlacement records the region that a request was sent to.
func (r *simulation) recordPlacement(q request, began time.Time, to ids.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Timeline.recordPlacement(began.Sub(r.began), q.zone.Region, r.regions[to])
}

// delay returns the one-way network delay from a host of zone z to a target.
func (r *simulation) delay(z Zone, to ids.Zone) time.Duration {
	switch {
	case z.Name == to:
		return 0
	case z.Region == r.regions[to]:
		return r.deployment.CrossZoneDelay
	default:
		return r.deployment.CrossRegionDelay
	}
}

// record records the outcome of a request that began at a time.
func (r *simulation) record(q request, began time.Time, answered bool) {
	latency := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Timeline.recordRequest(began.Sub(r.began), q.class.Name, q.zone.Name, latency, answered)
	if !q.measured {
		return
	}
	r.result.Requests++
	r.requests[q.zone.Name]++
	switch {
	case !answered:
		r.result.Refused++
		return
	case latency <= q.class.Objective:
		r.result.OnTime++
		r.onTime[q.zone.Name]++
	default:
		r.result.Late++
	}
	r.latencies = append(r.latencies, latency)
}

// sampleSlotsUntil samples the slots in use until stop is closed.
func (r *simulation) sampleSlotsUntil(stop <-chan struct{}) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.sampleSlots()
		case <-stop:
			return
		}
	}
}

// sampleSlots adds the slots in use to the mean of the current interval.
func (r *simulation) sampleSlots() {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := r.result.Timeline.at(time.Since(r.began))
	for _, t := range r.targets {
		interval.BusySlots[t.zone] += float64(t.busySlots()) * exchangeInterval.Seconds() / intervalLength.Seconds()
	}
}

// computeResult completes the result from the recorded requests.
func (r *simulation) computeResult() Result {
	r.result.OnTimeByZone = make(map[ids.Zone]float64)
	for z, n := range r.requests {
		r.result.OnTimeByZone[z] = float64(r.onTime[z]) / float64(n)
	}
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.result.P50, r.result.P99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	return r.result
}

// exchangeUntil calls exchange at every exchangeInterval until stop is closed.
func (r *simulation) exchangeUntil(stop <-chan struct{}) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.exchange()
		case <-stop:
			return
		}
	}
}

// exchange merges the state of each host into all others.
func (r *simulation) exchange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	const limit = 1 << 10
	for _, from := range r.hosts {
		inFlight := from.balancer.InFlight()
		var dispatches []balancer.Dispatch
		dispatches, from.nextDispatch = from.balancer.Dispatches(from.nextDispatch, limit)
		for _, to := range r.hosts {
			if to != from {
				to.balancer.Merge(ids.HostGroup(from.name), inFlight, dispatches)
			}
		}
	}
}
