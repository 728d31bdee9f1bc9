package picker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
)

const svc ids.Service = "till"

func snapshot(rev ids.Revision, drained []ids.Target, names ...ids.Target) *config.Snapshot {
	s := config.Service{Name: svc, Slots: 4}
	for _, n := range names {
		s.Upstreams = append(s.Upstreams, config.Upstream{Name: n, Region: "here", Address: string(n) + ":1"})
	}
	return config.NewSnapshot(rev, &config.Document{
		Services: []config.Service{s},
		Drains:   config.Drains{Targets: drained},
	})
}

func newPicker(names ...ids.Target) *picker.Picker {
	p := picker.New(picker.Config{Region: "here"})
	p.Configure(snapshot(1, nil, names...))
	return p
}

func acceptAny(ids.Target) bool { return true }

// send sends one request to the target and ends it.
func send(p *picker.Picker, t ids.Target, r picker.Result) { p.Begin(t).End(r) }

// countPicks counts n picks by target.
func countPicks(p *picker.Picker, n int) map[ids.Target]int {
	got := make(map[ids.Target]int)
	for range n {
		if c, ok := p.Pick(svc, nil, acceptAny); ok {
			got[c.Target]++
		}
	}
	return got
}

var okResult = picker.Result{Connected: true, Status: 200, Elapsed: 10 * time.Millisecond}

func TestOwnRequestsOverrideReportedLoad(t *testing.T) {
	is := is.New(t)
	p := newPicker("a", "b")
	p.Begin("a")
	p.RecordProbe("a", picker.ProbeResult{Healthy: true, Load: 0})
	p.RecordProbe("b", picker.ProbeResult{Healthy: true, Load: 4})
	is.Equal(countPicks(p, 100)["b"], 100) // the host's own request in flight on a counts more than the reports
}

func TestUnreachableTargetIsEjectedAtOnceAndTriedByOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPicker("a", "b")
		send(p, "a", picker.Result{})
		p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "1"})
		is.Equal(countPicks(p, 100)["a"], 0) // a healthy probe does not end the ejection
		time.Sleep(500 * time.Millisecond)
		is.True(countPicks(p, 100)["a"] > 0)
		trial := p.Begin("a")
		is.Equal(countPicks(p, 100)["a"], 0) // one trial at a time
		trial.End(picker.Result{})
		time.Sleep(900 * time.Millisecond)
		is.Equal(countPicks(p, 100)["a"], 0) // the second ejection is longer: 1 s
		time.Sleep(200 * time.Millisecond)
		send(p, "a", okResult)
		is.True(countPicks(p, 100)["a"] > 0)
	})
}

func TestRetryAvoidsTheFailedTarget(t *testing.T) {
	is := is.New(t)
	p := newPicker("a", "b")
	for range 100 {
		c, ok := p.Pick(svc, []ids.Target{"a"}, acceptAny)
		is.True(ok)
		is.Equal(c.Target, ids.Target("b"))
	}
	_, ok := p.Pick(svc, []ids.Target{"a"}, func(t ids.Target) bool { return t == "a" })
	is.True(!ok) // b is usable, if not free
	send(p, "b", picker.Result{})
	_, ok = p.Pick(svc, []ids.Target{"a"}, acceptAny)
	is.True(ok) // no other target is usable
}

func TestShedsErrorsAndMissingAnswersStopTraffic(t *testing.T) {
	for name, tc := range map[string]struct {
		times int
		r     picker.Result
	}{
		"shed":   {1, picker.Result{Connected: true, Status: 503, Shed: true}},
		"errors": {5, picker.Result{Connected: true, Status: 500}},
		"cuts":   {2, picker.Result{Connected: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPicker("a", "b")
			for range tc.times {
				is.True(p.Usable("a"))
				send(p, "a", tc.r)
			}
			is.True(!p.Usable("a"))
			is.Equal(p.UsableCount(svc), 1)
		})
	}
}

func TestCancelledRequestsDoNotEject(t *testing.T) {
	is := is.New(t)
	p := newPicker("a")
	for range 10 {
		send(p, "a", picker.Result{Connected: true, Cancelled: true})
	}
	is.True(p.Usable("a"))
}

func TestHungRequestsEjectEvenWhenTheCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPicker("a")
		first, second := p.Begin("a"), p.Begin("a")
		time.Sleep(2 * time.Second)
		first.End(picker.Result{Connected: true, Cancelled: true})
		second.End(picker.Result{Connected: true, Cancelled: true})
		is.True(!p.Usable("a"))
	})
}

func TestAnswerOverridesUnhealthyProbe(t *testing.T) {
	is := is.New(t)
	p := newPicker("a", "b")
	p.RecordProbe("a", picker.ProbeResult{Healthy: false})
	is.Equal(countPicks(p, 100)["a"], 0)
	send(p, "a", okResult)
	is.True(countPicks(p, 100)["a"] > 0) // the answer overrides the probe
	p.RecordProbe("b", picker.ProbeResult{Healthy: false})
	p.RecordProbe("a", picker.ProbeResult{Healthy: false})
	is.True(countPicks(p, 100)["a"] == 100) // b is unhealthy and has no recent answer
}

func TestSlowTargetGetsASmallShare(t *testing.T) {
	is := is.New(t)
	p := newPicker("a", "b", "c")
	for range 20 {
		send(p, "a", picker.Result{Connected: true, Status: 200, Elapsed: 400 * time.Millisecond})
		send(p, "b", okResult)
		send(p, "c", okResult)
	}
	got := countPicks(p, 3000)["a"]
	is.True(got > 0 && got < 200) // an even share would be 1000
}

func TestRestartedTargetStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPicker("a", "b", "c", "d")
		p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "1"})
		is.True(countPicks(p, 4000)["a"] > 800) // the targets of the first configuration are not cold
		p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "2"})
		is.True(countPicks(p, 4000)["a"] < 200)
		time.Sleep(5 * time.Second)
		got := countPicks(p, 4000)["a"]
		is.True(got > 300 && got < 800)
		time.Sleep(5 * time.Second)
		is.True(countPicks(p, 4000)["a"] > 800)
	})
}

func TestLeavingLastsUntilANewerStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPicker("a")
		p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "1"})
		send(p, "a", picker.Result{Connected: true, Status: 200, Leaving: true})
		is.True(!p.Usable("a"))
		p.MarkLive("a", "1")
		p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "1"})
		is.True(!p.Usable("a")) // the process that is leaving
		p.MarkLive("a", "")
		is.True(!p.Usable("a"))
		p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "2"})
		is.True(p.Usable("a")) // a newer process
		p.MarkLeaving("a", "1")
		is.True(p.Usable("a")) // process 1 has ended, process 2 is not leaving
		p.MarkLeaving("a", "2")
		p.MarkLive("a", "1")
		is.True(!p.Usable("a")) // process 1 has ended
		time.Sleep(time.Minute)
		is.True(p.Usable("a")) // leavingTimeout without another report
	})
}

func TestLateAnswerOfAnOldProcessDoesNotStopTheNewOne(t *testing.T) {
	is := is.New(t)
	p := newPicker("a")
	p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "1"})
	old := p.Begin("a")
	p.RecordProbe("a", picker.ProbeResult{Healthy: true, StartID: "2"})
	old.End(picker.Result{Connected: true, Leaving: true})
	is.True(p.Usable("a"))
}

func TestDrainedTargetIsNotPicked(t *testing.T) {
	is := is.New(t)
	p := newPicker("a", "b")
	p.Configure(snapshot(2, []ids.Target{"a"}, "a", "b"))
	is.Equal(countPicks(p, 100)["a"], 0)
	is.Equal(p.UsableCount(svc), 1)
	p.Configure(snapshot(3, nil, "a", "b"))
	is.True(countPicks(p, 100)["a"] > 0)
}

func TestEjectedTargetIsNotTriedWhileProbesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPicker("a", "b")
		send(p, "a", okResult)
		send(p, "a", picker.Result{}) // no connection
		for range 3 {
			time.Sleep(time.Second)
			p.RecordProbe("a", picker.ProbeResult{Healthy: false})
			is.Equal(countPicks(p, 100)["a"], 0) // a trial is due, but would likely fail a request
		}
		time.Sleep(time.Second)
		p.RecordProbe("a", picker.ProbeResult{Healthy: true})
		is.True(countPicks(p, 100)["a"] > 0)
		time.Sleep(time.Second)
		p.RecordProbe("a", picker.ProbeResult{Healthy: false})
		p.RecordProbe("b", picker.ProbeResult{Healthy: false})
		send(p, "b", picker.Result{})
		is.Equal(countPicks(p, 100)["a"], 100) // b is ejected, so the unhealthy a is used
	})
}
