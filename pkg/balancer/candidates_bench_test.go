package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// BenchmarkPickCandidates measures Pick and Done, for targets that report their speed, by the
// number of targets, of reporting host groups and of objects. More objects than a placer
// remembers need their candidates computed anew. With check, CheckFirst is called before.
func BenchmarkPickCandidates(b *testing.B) {
	for _, targets := range []int{600, 2000} {
		for _, groups := range []int{10, 200} {
			for _, objects := range []int{1000, 20_000} {
				for _, check := range []bool{false, true} {
					name := fmt.Sprintf("targets=%d/groups=%d/objects=%d/check=%t", targets, groups, objects, check)
					b.Run(name, func(b *testing.B) { benchmarkPickCandidates(b, targets, groups, objects, check) })
				}
			}
		}
	}
}

func benchmarkPickCandidates(b *testing.B, targets, groups, objects int, check bool) {
	bal, inFlight := newLargeBalancer(targets)
	for i := range groups {
		bal.Merge(ids.HostGroup(fmt.Sprint(i)), inFlight, nil)
	}
	requests := make([]balancer.Request, 0, objects)
	for i := range objects {
		requests = append(requests, request(fmt.Sprint(i)))
	}
	report := balancer.LoadReport{HasLoad: true, Load: 3, Slowdown: usual}
	c, err := bal.Pick(requests[0])
	if err != nil {
		b.Fatal(err)
	}
	c.Done(balancer.Result{Answered: true, LoadReport: report})
	b.ReportAllocs()
	refreshed := time.Now()
	for i := 0; b.Loop(); i++ {
		w := requests[i%objects]
		if check {
			bal.CheckFirst(w)
		}
		if c, err := bal.Pick(w); err == nil {
			c.Done(balancer.Result{Answered: true, LoadReport: report})
		}
		if i%1000 == 0 && time.Since(refreshed) > time.Second { // reports expire
			b.StopTimer()
			for i := range groups {
				bal.Merge(ids.HostGroup(fmt.Sprint(i)), inFlight, nil)
			}
			refreshed = time.Now()
			b.StartTimer()
		}
	}
}

// newLargeBalancer returns a Balancer with targets in three regions with two zones each, and the
// requests that each other host has there.
func newLargeBalancer(targets int) (*balancer.Balancer, []balancer.InFlight) {
	zones := make(map[ids.Zone]ids.Region)
	for _, region := range []ids.Region{"east", "north", "west"} {
		for i := range 2 {
			zones[ids.Zone(fmt.Sprint(region, i))] = region
		}
	}
	var all []registrar.Target
	var inFlight []balancer.InFlight
	for zone := range zones {
		for i := range targets / len(zones) {
			id := ids.Target(fmt.Sprint(zone, "-", i))
			all = append(all, registrar.Target{ID: id, Service: "s", Zone: zone, Slots: 600, Address: fmt.Sprint(id, ":80")})
			inFlight = append(inFlight, balancer.InFlight{Target: balancer.HashTarget(id), Count: 1})
		}
	}
	bal := balancer.New(balancer.Config{Zone: "east0", Regions: zones})
	bal.SetTargets(all)
	return bal, inFlight
}
