package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// maxClasses bounds the number of remembered classes. Beyond it, the class that was not
	// seen for the longest time is forgotten.
	maxClasses = 32
	// memoryTime is how long a class without requests is remembered.
	memoryTime = 10 * time.Second
)

// Pressures up to which classes are admitted. Queues of targets are usually full at 4.
const (
	// topLimit is the limit of the most urgent priority seen. Each following one gets limitStep
	// less, but at least minLimit.
	topLimit  = 3.0
	limitStep = 0.75
	minLimit  = 1.25
	// lateRoom is the part of the room above a pressure of 1 that is left to requests that
	// would miss their objective or whose target is cold. The former are of less use, and the
	// latter take about three times as long.
	lateRoom = 0.5
)

// Fractions of requests that are admitted.
const (
	// starvingFraction is the admitted fraction below which a class starves while all requests
	// of more urgent classes are admitted, which they are from unhinderedFraction upwards.
	starvingFraction   = 0.5
	unhinderedFraction = 0.98
	// minRelativeFraction is the admitted fraction, relative to that of all requests, below
	// which a class starves although more urgent classes are rejected too. Each class is owed
	// 0.25; the rest makes up for differences between hosts and over time.
	minRelativeFraction = 0.4
	// clearlySmaller is the ratio of two fractions below which they differ by more than chance.
	clearlySmaller = 0.9
	// maxLessUrgent bounds the admitted fraction of a class, relative to that of a more urgent
	// class that is not fully admitted. With a higher bound, less urgent requests for warm objects
	// keep out urgent ones for cold objects.
	maxLessUrgent = 0.5
)

// class is a kind of requests of one priority.
type class struct {
	name     string
	priority int
	seenAt   time.Time
	// requests and admitted decay exponentially.
	requests, admitted float64
	// limit is the pressure up to which the class is admitted. With wholeRoom it holds for
	// cold and late requests, too.
	limit     float64
	wholeRoom bool
	// samePriority is set if no class has another priority.
	samePriority bool
}

// limitFor returns the pressure up to which a request of the class is admitted. Without other
// priorities there is nothing to keep room for: a request that meets its objective is always
// admitted, as rejecting it would help no other.
func (c *class) limitFor(r *Request) float64 {
	switch {
	case c.samePriority && r.Objective > 0 && !r.late():
		return math.Inf(1)
	case c.samePriority && !r.Cold:
		return topLimit
	}
	if !c.wholeRoom && (r.Cold || r.late()) {
		return 1 + (c.limit-1)*lateRoom
	}
	return c.limit
}

// served estimates the admitted fraction, which is 1 before the first request. A few rejections
// lower it little.
func (c *class) served() float64 { return (c.admitted + 1) / (c.requests + 1) }

// servedLessThan and servedMoreThan compare the admitted fraction, which is unknown before the
// first request.
func (c *class) servedLessThan(fraction float64) bool { return c.admitted < fraction*c.requests }
func (c *class) servedMoreThan(fraction float64) bool { return c.admitted > fraction*c.requests }

// classOf returns the class of a request, which it adds if needed.
func (a *Admitter) classOf(r *Request, now time.Time) *class {
	for i := range a.classes {
		if c := &a.classes[i]; c.priority == r.Priority && c.name == r.Class {
			c.seenAt = now
			return c
		}
	}
	return a.add(class{name: r.Class, priority: r.Priority, seenAt: now}, now)
}

// add inserts a class after those of the same priority.
func (a *Admitter) add(c class, now time.Time) *class {
	if len(a.classes) >= maxClasses {
		oldest := 0
		for i := range a.classes {
			if a.classes[i].seenAt.Before(a.classes[oldest].seenAt) {
				oldest = i
			}
		}
		a.classes = slices.Delete(a.classes, oldest, oldest+1)
	}
	i := len(a.classes)
	for i > 0 && a.classes[i-1].priority > c.priority {
		i--
	}
	a.classes = slices.Insert(a.classes, i, c)
	a.judge(now)
	return &a.classes[i]
}

// forget removes the classes that had no requests for a while.
func (a *Admitter) forget(now time.Time) {
	a.classes = slices.DeleteFunc(a.classes, func(c class) bool { return now.Sub(c.seenAt) > memoryTime })
}

// judge sets the limits of all classes.
func (a *Admitter) judge(now time.Time) {
	overall, limit := a.overallFraction(), topLimit
	samePriority := len(a.classes) > 0 && a.classes[0].priority == a.classes[len(a.classes)-1].priority
	for i := range a.classes {
		c := &a.classes[i]
		if i > 0 && c.priority > a.classes[i-1].priority {
			limit = max(limit-limitStep, minLimit)
		}
		c.limit, c.wholeRoom, c.samePriority = limit, false, samePriority
		a.adjust(c, overall, now)
	}
}

// adjust changes the limit of a class that was served out of proportion to others.
func (a *Admitter) adjust(c *class, overall float64, now time.Time) {
	urgent := a.lowestFraction(c.priority, now)
	switch {
	case c.servedLessThan(minRelativeFraction*overall) && c.servedLessThan(clearlySmaller*urgent):
		// It starves. Whole room is needed where others fill the service with warm requests.
		c.limit, c.wholeRoom = topLimit, true
	case urgent < unhinderedFraction && c.servedMoreThan(maxLessUrgent*urgent):
		// A more urgent class is rejected, perhaps because its deadlines are too short for the queue.
		c.limit = minLimit
	case c.served() < unhinderedFraction && a.overtakes(c, now):
		// A less urgent class gets too much, for instance as it has fewer cold requests.
		c.limit, c.wholeRoom = topLimit, true
	case c.servedLessThan(starvingFraction) && urgent >= unhinderedFraction:
		// It starves although all more urgent requests are admitted.
		c.limit = topLimit
	}
}

// lowestFraction returns the lowest admitted fraction of the classes that are more urgent than a
// priority. Classes without recent requests are left out: their means no longer change.
func (a *Admitter) lowestFraction(priority int, now time.Time) float64 {
	lowest := 1.0
	for i := range a.classes {
		if c := &a.classes[i]; c.priority < priority && c.recent(now) {
			lowest = min(lowest, c.served())
		}
	}
	return lowest
}

// overtakes reports whether a less urgent class is served too often in relation to c.
func (a *Admitter) overtakes(c *class, now time.Time) bool {
	return slices.ContainsFunc(a.classes, func(o class) bool {
		return o.priority > c.priority && o.recent(now) && o.servedMoreThan(maxLessUrgent*c.served())
	})
}

// recent reports whether the class had requests lately.
func (c *class) recent(now time.Time) bool { return now.Sub(c.seenAt) <= decayTime }

// overallFraction returns the admitted fraction of all requests.
func (a *Admitter) overallFraction() float64 {
	requests, admitted := 0.0, 0.0
	for i := range a.classes {
		requests += a.classes[i].requests
		admitted += a.classes[i].admitted
	}
	if requests <= 0 {
		return 1
	}
	return admitted / requests
}
