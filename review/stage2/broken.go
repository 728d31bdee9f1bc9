//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the site file: a share of the upstreams breaks off a part of its answers for some
// seconds.
const (
	faultyOf   = 12
	faulty     = 7 // a share of 0.58
	brokenPart = 0.03
	brokenTime = 5500 * time.Millisecond
	// tolerated is how many such requests the rule allows.
	tolerated = 3
)

// pipelineBehindBrokenAnswers lets upstreams break off some of their long answers, while clients
// have several safe requests in progress on each of their connections.
func pipelineBehindBrokenAnswers(s *stage) ([]string, error) {
	s.publish(2)
	var troubled atomic.Bool
	unsound := make(map[string]bool)
	for i := range faultyOf {
		u, err := s.addUpstream("stitch", i%len(zones), pipelineWork)
		if err != nil {
			return nil, err
		}
		u.lines = longAnswer
		if i < faulty {
			unsound[u.id] = true
			u.breaksOff = func() bool { return troubled.Load() && rand.Float64() < brokenPart }
		}
	}
	for z := range 3 {
		if _, err := s.addHost(z); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	if err := s.waitKnown(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range 2 * pipelineClients {
		clients.Go(func() { s.pipelineClient(ctx, zones[i%len(s.hosts)]) })
	}
	time.Sleep(stableWindow + time.Second)
	began := time.Now()
	troubled.Store(s.trouble)
	time.Sleep(brokenTime)
	troubled.Store(false)
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	broken := s.cutOff(began, func(l *life) bool {
		return !slices.ContainsFunc(l.arrivals, func(id string) bool { return unsound[id] })
	})
	s.note("%d requests to sound upstreams got no answer; %d are allowed", len(broken), tolerated)
	if len(broken) <= tolerated {
		return nil, nil
	}
	return broken, nil
}
