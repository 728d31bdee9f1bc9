package admitter_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/admitter"
)

const (
	// capacity is the number of requests per second that the service ends.
	capacity = 1000.0
	slots    = 100.0
	// step is the time step of the simulation, and surveySteps the age that a pressure reaches.
	step        = 10 * time.Millisecond
	surveySteps = 5
)

// load is a class of requests and its rate per second over all hosts.
type load struct {
	admitter.Request
	rate float64
}

// service has a queue and hosts that each admit requests by themselves.
type service struct {
	hosts   []admitter.Admitter
	backlog float64
	rnd     *rand.Rand
}

func newService() *service {
	return &service{hosts: make([]admitter.Admitter, 5), rnd: rand.New(rand.NewPCG(1, 2))}
}

// run offers the loads for d and returns the admitted fraction of each load and of all requests.
func (s *service) run(d time.Duration, loads ...load) (fractions []float64, overall float64) {
	requests, admitted := make([]float64, len(loads)+1), make([]float64, len(loads)+1)
	pressure := s.backlog / slots
	for i := range int(d / step) {
		time.Sleep(step)
		s.backlog = max(s.backlog-capacity*step.Seconds()*min(s.backlog/slots, 1), 0)
		if i%surveySteps == 0 {
			pressure = s.backlog / slots
		}
		for _, n := range s.rnd.Perm(len(loads)) {
			for range s.arrivals(loads[n].rate) {
				r := loads[n].Request
				r.Finish = time.Duration(max(pressure, 1) * slots / capacity * float64(time.Second))
				requests[n]++
				if s.hosts[s.rnd.IntN(len(s.hosts))].Admit(r, pressure, time.Now()) {
					admitted[n]++
					s.backlog++
				}
			}
		}
	}
	for n := range loads {
		fractions = append(fractions, admitted[n]/requests[n])
		requests[len(loads)] += requests[n]
		admitted[len(loads)] += admitted[n]
	}
	return fractions, admitted[len(loads)] / requests[len(loads)]
}

// arrivals returns a random number of requests in one step.
func (s *service) arrivals(rate float64) int {
	mean := rate * step.Seconds()
	n := int(mean)
	if s.rnd.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func request(class string, priority int) admitter.Request {
	return admitter.Request{Class: class, Priority: priority, Objective: time.Second, TimeLeft: 2 * time.Second}
}

// Guards against a service with too little room that rejects urgent requests although rejecting
// the others suffices, or that admits less than it can run.
func TestTooLittleRoomUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		served, overall := s.run(20*time.Second, load{request("orders", 1), 600}, load{request("reads", 2), 1000})
		t.Log(served, overall)
		is.True(served[0] > 0.93)             // urgent requests go first
		is.True(served[1] > 0.25*overall)     // the others get the rest
		is.True(overall*1600 > 0.95*capacity) // and all of it
	})
}

// Guards against classes that are never admitted because more urgent ones, or ones whose targets
// are warm, fill the service by themselves.
func TestUrgentLoadAloneTooMuchOthersDoNotStarve(t *testing.T) {
	cold := request("cold", 1)
	cold.Cold = true
	for name, loads := range map[string][]load{
		"two priorities":      {{request("orders", 1), 1500}, {request("reads", 2), 500}},
		"four priorities":     {{request("a", 0), 2000}, {request("b", 1), 500}, {request("c", 2), 500}, {request("d", 3), 500}},
		"few requests":        {{request("orders", 1), 3000}, {request("reads", 2), 10}},
		"cold, less urgent":   {{request("orders", 0), 1500}, {cold, 500}},
		"cold, same priority": {{request("orders", 1), 3000}, {cold, 300}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService()
				s.run(10*time.Second, loads...)
				served, overall := s.run(20*time.Second, loads...)
				t.Log(served, overall)
				for n := range loads {
					is.True(served[n] > 0.25*overall)
					is.True(n == 0 || loads[n].Priority == loads[n-1].Priority || served[n] <= served[n-1])
				}
			})
		})
	}
}

// Guards against an urgent class that is served less often than others, because its requests are
// cold or have deadlines that are too short for the queue that the others build.
func TestUrgentColdOrShortOfTimeServedNoLessThanOthers(t *testing.T) {
	cold, short := request("cold", 1), request("short", 1)
	cold.Cold = true
	short.TimeLeft = 150 * time.Millisecond
	for _, urgent := range []admitter.Request{cold, short} {
		t.Run(urgent.Class, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService()
				loads := []load{{urgent, 300}, {request("reads", 2), 1500}}
				s.run(10*time.Second, loads...)
				served, overall := s.run(20*time.Second, loads...)
				t.Log(served, overall)
				is.True(served[0] > 0.8)
				is.True(served[0] > 1.5*served[1])
				is.True(served[1] > 0.25*overall)
				is.True(overall*1800 > 0.95*capacity)
			})
		})
	}
}

// offer offers a request 100 times a second for d, and reports whether the last was admitted.
func offer(a *admitter.Admitter, r admitter.Request, pressure float64, d time.Duration, now *time.Time) bool {
	admitted := false
	for range d / step {
		*now = now.Add(step)
		admitted = a.Admit(r, pressure, *now)
	}
	return admitted
}

// Guards against a class that starves although more urgent ones are served in full, against one
// that gets more than its own limit while they are not, and against either lasting.
func TestUrgentLoadComesAndGoesLimitsFollowWhatWasServed(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	now := time.Now()
	orders, reads, cold := request("orders", 1), request("reads", 2), request("orders", 1)
	cold.Cold = true
	is.True(offer(&a, orders, 2.4, time.Second, &now))
	is.True(!a.Admit(reads, 2.4, now))
	is.True(offer(&a, reads, 2.2, step*40, &now))
	is.True(!offer(&a, reads, 3.5, step*60, &now))
	is.True(offer(&a, reads, 2.4, step*5, &now)) // starving, and orders are served in full

	is.True(!offer(&a, orders, 3.5, time.Second, &now))
	is.True(!offer(&a, reads, 2.4, step*5, &now)) // not while orders are rejected
	is.True(!offer(&a, reads, 1.3, step*5, &now)) // as reads get too much already
	is.True(offer(&a, cold, 2.4, step, &now))     // and orders are preferred

	is.True(offer(&a, orders, 1.9, 12*time.Second, &now))
	is.True(offer(&a, reads, 1.9, step*20, &now)) // rejections of long ago are forgotten
	is.True(!offer(&a, orders, 3.5, 2*time.Second, &now))
	is.True(!offer(&a, reads, 1.9, time.Second, &now))
	is.True(offer(&a, reads, 1.9, 3*time.Second, &now)) // no recent orders hold them back
}

// Guards against work on requests that cannot finish in time, and against an urgent class of
// such requests that holds back all others.
func TestHopelessRequestsAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	now := time.Now()
	hopeless := request("hopeless", 0)
	hopeless.Finish, hopeless.TimeLeft = 500*time.Millisecond, 100*time.Millisecond
	for range 1000 {
		now = now.Add(time.Millisecond)
		is.True(!a.Admit(hopeless, 0, now))
		is.True(!a.Admit(hopeless, 2, now))
		is.True(a.Admit(request("reads", 1), 2, now))
	}
	unknown := hopeless
	unknown.TimeLeft = 0
	is.True(a.Admit(unknown, 0, now)) // the remaining time is not known
}

// Guards against a service that goes on rejecting requests that it has room for, as means or
// promised times of the overload live on.
func TestOverloadEndsEverythingIsAdmittedWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		short := request("short", 1)
		short.TimeLeft = 150 * time.Millisecond
		loads := func(factor float64) []load {
			return []load{{short, 300 * factor}, {request("reads", 2), 400 * factor}, {request("scans", 3), 200 * factor}}
		}
		_, overall := s.run(30*time.Second, loads(5)...)
		is.True(overall < 0.3)
		for n := range 1000 {
			s.hosts[0].RetryAfter(float64(100+n), 6*time.Second, time.Now())
		}
		s.run(3*time.Second, loads(1)...)
		_, overall = s.run(5*time.Second, loads(1)...)
		is.Equal(overall, 1.0)
		is.Equal(s.hosts[0].RetryAfter(100, 6*time.Second, time.Now()), 100*time.Millisecond)
	})
}

// Guards against classes that are held back by the urgency of requests that no longer come.
func TestUrgentLoadEndsNextClassCountsAsMostUrgent(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	now := time.Now()
	is.True(a.Admit(request("scans", 7), 2.9, now)) // alone
	is.True(a.Admit(request("orders", 0), 2.9, now))
	is.True(a.Admit(request("other", 0), 2.9, now)) // the same priority
	is.True(!a.Admit(request("scans", 7), 2.5, now))
	is.True(a.Admit(request("scans", 7), 2.2, now))
	now = now.Add(11 * time.Second)
	is.True(a.Admit(request("scans", 7), 2.9, now))
}

// Guards against callers who are rejected together and return together.
func TestHerdRejectedInOneMomentReturnsSpread(t *testing.T) {
	for _, c := range []struct {
		freed             float64
		timeLeft, longest time.Duration
		maxTogether       int // in 100 ms
	}{
		{400, 6 * time.Second, 2 * time.Second, 150},
		{400, 0, 2 * time.Second, 150},
		{400, time.Second, time.Second / 3, 667}, // they have only 233 ms to return in
		{0, 6 * time.Second, 2 * time.Second, 150},
		{1e-300, 6 * time.Second, 2 * time.Second, 150},
		{-1, 0, 2 * time.Second, 150},
		{math.NaN(), 0, 2 * time.Second, 150},
		{0, 200 * time.Millisecond, 300 * time.Millisecond, 750}, // no delay suits them
	} {
		is := is.New(t)
		var a admitter.Admitter
		now := time.Now()
		var delays []time.Duration
		for range 1000 {
			delays = append(delays, a.RetryAfter(c.freed, c.timeLeft, now))
		}
		slices.Sort(delays)
		is.True(delays[0] >= 100*time.Millisecond)
		is.True(delays[999] <= c.longest)
		for n := range 1000 - c.maxTogether {
			is.True(delays[n+c.maxTogether]-delays[n] >= 100*time.Millisecond)
		}
	}
}

// Guards against callers who return faster than slots become free, or later than needed.
func TestFewRejectedReturnAtTheRateOfFreeSlots(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	now := time.Now()
	for n := range 10 {
		is.Equal(a.RetryAfter(50, 3*time.Second, now), 100*time.Millisecond+time.Duration(n)*20*time.Millisecond)
	}
	is.Equal(a.RetryAfter(50, 3*time.Second, now.Add(time.Second)), 100*time.Millisecond)
}

// Guards against a restarted host that rejects more than the others, or takes over what they
// reject, because it knows nothing yet.
func TestRestartedAdmitterAdmitsLikeAnIdleOne(t *testing.T) {
	is := is.New(t)
	var idle admitter.Admitter
	now := time.Now()
	for n := range 10_000 {
		idle.Admit(request("reads", n%3), 3.5, now)
		idle.RetryAfter(1, 0, now)
	}
	now = now.Add(time.Minute)
	var restarted admitter.Admitter
	for n := range 1000 {
		now = now.Add(time.Millisecond)
		r, pressure := request("reads", n%3), float64(n%40)/10
		r.Cold = n%7 == 0
		is.Equal(restarted.Admit(r, pressure, now), idle.Admit(r, pressure, now))
	}
	is.Equal(restarted.RetryAfter(1, 0, now), idle.RetryAfter(1, 0, now))
}

// Guards against allocations under the caller's lock, and against memory that grows with the
// number of classes.
func TestManyRequestsAndClassesAllocateNothing(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	now := time.Now()
	names := make([]string, 2000)
	for n := range names {
		names[n] = strconv.Itoa(n)
	}
	admitAll := func(names []string) {
		for n, name := range names {
			now = now.Add(time.Millisecond)
			a.Admit(request(name, n%5), 2, now)
			a.RetryAfter(100, time.Second, now)
		}
	}
	admitAll(names[:100])
	rest := names[100:]
	is.Equal(testing.AllocsPerRun(1, func() {
		admitAll(rest[:900])
		rest = rest[900:]
	}), 0.0)
}

func BenchmarkAdmit(b *testing.B) {
	var a admitter.Admitter
	classes := []admitter.Request{request("orders", 1), request("reads", 2), request("scans", 3)}
	now := time.Now()
	n := 0
	for b.Loop() {
		now = now.Add(200 * time.Microsecond)
		a.Admit(classes[n%len(classes)], 2.5, now)
		n++
	}
}
