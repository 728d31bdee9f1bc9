package gateway

import (
	"net/http"
	"net/url"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

// Query describes a request to explain, which has no body.
type Query struct {
	Method, Host, Path, Object string
	// Workspace is that of the request's key, empty for a request without a key.
	Workspace ids.Workspace
	// Timeout is how long the caller waits, 0 if it does not tell.
	Timeout time.Duration
}

// Explanation tells where a host would send a request now, and why. Fields that are nil are
// unknown, and what comes after the step that rejects the request is not set.
type Explanation struct {
	// Instance, Zone and Region are those of the host.
	Instance ids.Instance `json:"instance"`
	Zone     ids.Zone     `json:"zone"`
	Region   ids.Region   `json:"region"`
	// ConfigVersion is the version of the configuration in force, 0 for none. ConfirmedAgoMs is
	// the time since it was confirmed to be the newest, which must be below MaxConfirmedAgoMs.
	ConfigVersion     uint64           `json:"configVersion"`
	ConfirmedAgoMs    *balancer.Millis `json:"confirmedAgoMs,omitempty"`
	MaxConfirmedAgoMs balancer.Millis  `json:"maxConfirmedAgoMs"`
	// Status and Reason are those of the response if the host would reject the request before it
	// chooses a target.
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason,omitempty"`

	Route       string          `json:"route,omitempty"`
	Idempotent  bool            `json:"idempotent"`
	MaxAttempts int             `json:"maxAttempts,omitempty"`
	ObjectiveMs balancer.Millis `json:"objectiveMs,omitempty"`
	TimeLeftMs  balancer.Millis `json:"timeLeftMs,omitempty"`
	Priority    int             `json:"priority"`
	// Each list of HomeRegions restricts the request to the regions in it.
	HomeRegions [][]ids.Region `json:"homeRegions,omitempty"`
	// UnknownWorkspace means that the configuration in force has no such workspace.
	UnknownWorkspace bool `json:"unknownWorkspace,omitempty"`
	// WithinRate reports whether the workspace's rate limit admits the request.
	WithinRate *bool `json:"withinRate,omitempty"`
	// CutOff means that the host is cut off from the targets and passes the request on to the
	// first of RelayHosts that takes it.
	CutOff     bool     `json:"cutOff,omitempty"`
	RelayHosts []string `json:"relayHosts,omitempty"`
	// Services are those among which the route divides its requests by weight.
	Services []ExplainedService `json:"services,omitempty"`
}

// ExplainedService is a service that may get a request.
type ExplainedService struct {
	Service ids.Service `json:"service"`
	Weight  float64     `json:"weight"`
	balancer.Explanation
}

// Explain tells where a request would be sent now, by the code that serves requests. It sends
// and counts nothing. Its error means that the path is not valid.
func (h *Handler) Explain(query Query) (*Explanation, error) {
	u, err := url.ParseRequestURI(query.Path)
	if err != nil {
		return nil, err
	}
	q := &request{
		h: h, start: time.Now(), info: RequestInfo{Object: query.Object, Timeout: query.Timeout},
		r: &http.Request{Method: query.Method, Host: query.Host, URL: u, RequestURI: query.Path, ProtoMajor: 1, ProtoMinor: 1},
	}
	e := &Explanation{MaxConfirmedAgoMs: balancer.ToMillis(h.cfg.MaxConfirmationAge())}
	if age, ok := h.cfg.Confirmer.Age(); ok {
		e.ConfirmedAgoMs = new(balancer.ToMillis(age))
	}
	if rej := q.explain(e, query.Workspace); rej != nil {
		e.Status, e.Reason = rej.status, rej.reason
	}
	return e, nil
}

// explain fills in e by the steps of handle up to the choice of a target.
func (q *request) explain(e *Explanation, workspace ids.Workspace) *rejection {
	rej := q.prepare()
	e.ConfigVersion = q.record.ConfigVersion
	if rej != nil {
		return rej
	}
	e.Route, e.Idempotent, e.MaxAttempts = q.route.Name, q.route.Kind.Idempotent(), q.route.MaxAttempts
	i := slices.IndexFunc(q.router.Workspaces, func(w router.Workspace) bool { return w.Name == workspace })
	if e.UnknownWorkspace = workspace != "" && i < 0; i >= 0 {
		q.ws = &q.router.Workspaces[i]
	}
	if rej := q.authenticate(); rej != nil {
		return rej
	}
	q.setTimeout()
	req := q.balancerRequest(nil)
	e.TimeLeftMs, e.ObjectiveMs, e.Priority = balancer.ToMillis(q.record.Timeout), balancer.ToMillis(req.Objective), req.Priority
	e.HomeRegions = slices.DeleteFunc(slices.Clone(req.HomeRegions), func(l []ids.Region) bool { return len(l) == 0 })
	if e.CutOff = q.mayRelay(); e.CutOff {
		if e.RelayHosts = q.relayHosts(); len(e.RelayHosts) == 0 {
			return &rejection{status: http.StatusServiceUnavailable, reason: reasonCutOff}
		}
		return nil
	}
	if q.ws != nil {
		admits, known := q.h.cfg.RateLimiter.WouldAdmit(q.ws)
		if known {
			e.WithinRate = &admits
		}
		if known && !admits {
			return &rejection{status: http.StatusTooManyRequests, reason: reasonOverRate}
		}
	}
	for _, s := range q.route.Shares {
		req.Service = s.Service
		e.Services = append(e.Services, ExplainedService{s.Service, s.Weight, q.h.cfg.Balancer.Explain(req)})
	}
	return nil
}
