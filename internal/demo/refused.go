package demo

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// Refused is how one workspace's rate was kept from its side: what one ideal
// bucket with its rate and burst would have admitted of the same requests.
type Refused struct {
	Workspace ids.Workspace `json:"workspace"`
	// Arrived counts the requests that came to the workspace's limit.
	Arrived  int `json:"arrived"`
	Admitted int `json:"admitted"`
	Ideal    int `json:"ideal"`
	// InsideRate is the shortfall against the ideal bucket.
	InsideRate int `json:"insideRate"`
	// OutageMs is the longest time in which every request was refused for its
	// rate, though the ideal bucket admits one, and OutageFromMs when it began.
	OutageMs     float64 `json:"outageMs"`
	OutageFromMs float64 `json:"outageFromMs"`
}

// Share returns the shortfall as a part of what the ideal bucket admits.
func (r *Refused) Share() float64 { return float64(r.InsideRate) / float64(max(1, r.Ideal)) }

// refusedInsideRate returns each workspace's shortfall.
func refusedInsideRate(r *records) []Refused {
	arrivals := make(map[ids.Workspace][]*attempt)
	first := firstWorks(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		w := first[a.id]
		keyless := w != nil && w.Workspace == ""
		if a.workspace != "" && !keyless && cameToLimit(a) {
			arrivals[a.workspace] = append(arrivals[a.workspace], a)
		}
	}
	var all []Refused
	for _, ws := range workspacesOf(r) {
		one := Refused{Workspace: ws, Arrived: len(arrivals[ws])}
		slices.SortFunc(arrivals[ws], func(a, b *attempt) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
		one.count(arrivals[ws], idealBucket{limits: acceptedLimits(r, ws)}, r.began)
		one.InsideRate = max(0, one.Ideal-one.Admitted)
		all = append(all, one)
	}
	return all
}

// count counts the requests that came to the limit, in their order.
func (r *Refused) count(arrivals []*attempt, ideal idealBucket, began time.Time) {
	var outage outage
	for _, a := range arrivals {
		inside := ideal.take(a.sentAt)
		if inside {
			r.Ideal++
		}
		if a.code != refusal.CodeRateExceeded {
			r.Admitted++
			outage.reset()
			continue
		}
		if d := outage.refuse(a.sentAt, inside); ms(d) > r.OutageMs {
			r.OutageMs, r.OutageFromMs = ms(d), ms(outage.from.Sub(began))
		}
	}
}

// outage is a time in which every request is refused.
type outage struct {
	from time.Time
	// inside is set once one of them was inside the rate.
	inside bool
}

func (o *outage) reset() { *o = outage{} }

// refuse adds a refusal and returns the length so far.
func (o *outage) refuse(at time.Time, inside bool) time.Duration {
	if o.from.IsZero() {
		o.from = at
	}
	o.inside = o.inside || inside
	if !o.inside {
		return 0
	}
	return at.Sub(o.from)
}

// cameToLimit reports whether the workspace's limit decided about the request:
// it was refused for its rate or got past the limit.
func cameToLimit(a *attempt) bool {
	switch a.code {
	case "":
		return a.outcome == refusal.Ran
	case refusal.CodeRateExceeded, refusal.CodeQueueFull, refusal.CodeNoTarget, refusal.CodeShiftCap,
		refusal.CodeLinkFull, refusal.CodeTargetFailed, refusal.CodeTargetShed, refusal.CodeTargetAnswerInvalid,
		refusal.CodeDeadlineExceeded:
		return true
	default:
		return false
	}
}

// acceptedLimits returns a workspace's limits, each from when the operator was
// told that it is accepted.
func acceptedLimits(r *records, ws ids.Workspace) []limit {
	all := []limit{limitUnder(r.document, "ordinary", ws)}
	for _, c := range r.changes {
		if c.kind != changePreset || c.err != "" {
			continue
		}
		l := limitUnder(r.document, ids.Preset(c.name), ws)
		l.from = c.acceptedAt
		all = append(all, l)
	}
	return all
}

// idealBucket is one bucket that sees all requests at once.
type idealBucket struct {
	limits []limit
	tokens float64
	last   time.Time
}

func (b *idealBucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.last = now
		b.tokens = b.limits[0].burst
	}
	for len(b.limits) > 1 && !b.limits[1].from.After(now) {
		b.fill(b.limits[1].from)
		b.limits = b.limits[1:]
	}
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds the tokens until a time.
func (b *idealBucket) fill(until time.Time) {
	if !until.After(b.last) {
		return
	}
	b.tokens = min(b.limits[0].burst, b.tokens+b.limits[0].rate*until.Sub(b.last).Seconds())
	b.last = until
}
