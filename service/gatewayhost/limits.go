package gatewayhost

import (
	"sync"
	"time"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/collector"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// limitLogInterval is the time between two log lines about the sends to a target that
// names a limit.
const limitLogInterval = time.Second

// limitRetention is how long a target is remembered after its last answer.
const limitRetention = 10 * time.Minute

// limitRecorder counts and logs what this host sends to the targets that name a limit.
type limitRecorder struct {
	log     log.Interface
	metrics *collector.Collector

	mu        sync.Mutex
	targets   map[ids.Target]*limitedTarget
	flushedAt time.Time
}

// limitedTarget is a target that named a limit in its last answer to this host.
type limitedTarget struct {
	rate ids.Rate
	// firsts and repeats count the first and the further attempts of requests since the
	// last log line.
	firsts, repeats int
	lastSendAt      time.Time
}

// record takes in the attempts of a completed request.
func (r *limitRecorder) record(rec *gateway.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range rec.Attempts {
		a := &rec.Attempts[i]
		r.observe(a)
		t := r.targets[a.Target]
		switch {
		case t == nil:
			continue
		case i == 0:
			t.firsts++
			r.metrics.Count("limited", "sends", "first")
		default:
			t.repeats++
			r.metrics.Count("limited", "sends", "repeat")
		}
		t.lastSendAt = time.Now()
	}
}

// heard logs a limit that another host told.
func (r *limitRecorder) heard(id ids.Target, rate ids.Rate) {
	r.log.WithField("target", string(id)).WithField("limit", rate.PerSecond()).Info("limit of target heard from another host")
}

// observe notes what the target's answer told about its limit. The caller holds the lock.
func (r *limitRecorder) observe(a *gateway.Attempt) {
	t := r.targets[a.Target]
	switch {
	case t != nil && a.Limit.Ended:
		delete(r.targets, a.Target)
		r.log.WithField("target", string(a.Target)).WithField("was", t.rate.PerSecond()).Info("limit of target ended")
		return
	case a.Limit.Rate == 0, t != nil && t.rate == a.Limit.Rate:
		return
	case t == nil:
		t = &limitedTarget{}
		if r.targets == nil {
			r.targets = make(map[ids.Target]*limitedTarget)
		}
		r.targets[a.Target] = t
	}
	r.log.WithFields(log.Fields{
		"target": string(a.Target), "limit": a.Limit.Rate.PerSecond(), "was": t.rate.PerSecond(),
	}).Info("target names a limit")
	t.rate = a.Limit.Rate
}

// flush logs the sends since the last line, once per limitLogInterval. It is to be called
// more often.
func (r *limitRecorder) flush(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.flushedAt) < limitLogInterval {
		return
	}
	r.flushedAt = now
	for id, t := range r.targets {
		if now.Sub(t.lastSendAt) > limitRetention {
			delete(r.targets, id)
		}
		if t.firsts+t.repeats == 0 {
			continue
		}
		r.log.WithFields(log.Fields{
			"target": string(id), "limit": t.rate.PerSecond(), "firsts": t.firsts, "repeats": t.repeats,
		}).Info("sends to limited target")
		t.firsts, t.repeats = 0, 0
	}
}
