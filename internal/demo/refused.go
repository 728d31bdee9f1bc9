package demo

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// Refused compares the requests of a workspace that were admitted with those that an
// ideal token bucket of its rate and burst would have admitted.
type Refused struct {
	Workspace ids.Workspace `json:"workspace"`
	// Arrived counts the requests that the rate limiter decided on, Admitted those that
	// it admitted, and Ideal those that the ideal bucket admits.
	Arrived  int `json:"arrived"`
	Admitted int `json:"admitted"`
	Ideal    int `json:"ideal"`
	// InsideRate is Ideal minus Admitted, at least zero: the requests refused although
	// within the rate.
	InsideRate int `json:"insideRate"`
	// OutageMs is the longest time in which every request was refused for its rate
	// although the ideal bucket admits one. OutageFromMs is its start, relative to that
	// of the load.
	OutageMs     float64 `json:"outageMs"`
	OutageFromMs float64 `json:"outageFromMs"`
}

// Share returns InsideRate as a share of Ideal.
func (r *Refused) Share() float64 { return float64(r.InsideRate) / float64(max(1, r.Ideal)) }

// refusedInsideRate returns the comparison for each workspace, in the document's order.
func refusedInsideRate(r *records) []Refused {
	arrivals := make(map[ids.Workspace][]*attempt)
	first := firstTargetRequests(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		req := first[a.id]
		keyless := req != nil && req.Workspace == ""
		if a.workspace != "" && !keyless && reachedLimiter(a) {
			arrivals[a.workspace] = append(arrivals[a.workspace], a)
		}
	}
	var all []Refused
	for _, ws := range workspacesOf(r) {
		refused := Refused{Workspace: ws, Arrived: len(arrivals[ws])}
		slices.SortFunc(arrivals[ws], func(a, b *attempt) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
		refused.count(arrivals[ws], idealBucket{limits: acceptedLimits(r, ws)}, r.loadStart)
		refused.InsideRate = max(0, refused.Ideal-refused.Admitted)
		all = append(all, refused)
	}
	return all
}

// count sets all fields but Workspace, Arrived and InsideRate from the requests that
// the limiter decided on, in order of sending.
func (r *Refused) count(arrivals []*attempt, ideal idealBucket, loadStart time.Time) {
	var outage outage
	for _, a := range arrivals {
		withinRate := ideal.take(a.sentAt)
		if withinRate {
			r.Ideal++
		}
		if a.code != refusal.CodeRateExceeded {
			r.Admitted++
			outage.reset()
			continue
		}
		if d := outage.addRefusal(a.sentAt, withinRate); ms(d) > r.OutageMs {
			r.OutageMs, r.OutageFromMs = ms(d), ms(outage.from.Sub(loadStart))
		}
	}
}

// outage is a time in which every request is refused for its rate.
type outage struct {
	from time.Time
	// withinRate is set once the ideal bucket admits one of them.
	withinRate bool
}

func (o *outage) reset() { *o = outage{} }

// addRefusal adds a refusal and returns the length so far, or zero if no request was
// within the rate.
func (o *outage) addRefusal(at time.Time, withinRate bool) time.Duration {
	if o.from.IsZero() {
		o.from = at
	}
	o.withinRate = o.withinRate || withinRate
	if !o.withinRate {
		return 0
	}
	return at.Sub(o.from)
}

// reachedLimiter reports whether the rate limiter decided on the request: it was
// refused for its rate, or it ran or was refused later.
func reachedLimiter(a *attempt) bool {
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

// acceptedLimits returns a workspace's limits, each from when the operator was told
// that its preset is accepted.
func acceptedLimits(r *records, ws ids.Workspace) []limit {
	all := []limit{limitWithPreset(r.document, "ordinary", ws)}
	for _, c := range r.changes {
		if c.kind != changePreset || c.err != "" {
			continue
		}
		l := limitWithPreset(r.document, ids.Preset(c.name), ws)
		l.from = c.acceptedAt
		all = append(all, l)
	}
	return all
}

// idealBucket is a single token bucket for all requests of a workspace.
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
		b.refill(b.limits[1].from)
		b.limits = b.limits[1:]
	}
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens until a time.
func (b *idealBucket) refill(until time.Time) {
	if !until.After(b.last) {
		return
	}
	b.tokens = min(b.limits[0].burst, b.tokens+b.limits[0].rate*until.Sub(b.last).Seconds())
	b.last = until
}
