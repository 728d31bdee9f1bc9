package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

const (
	// maxHealthChecks is the number of health checks before one send.
	maxHealthChecks = 2
	// healthTimeout bounds a health check, which delays the request. Targets respond at once.
	healthTimeout = 25 * time.Millisecond
	// maxHealthBytes is how much of the body of a response is read.
	maxHealthBytes = 4 << 10
)

// checkHealth checks the health of the targets whose state decides which one is best for the
// request. A check that fails changes nothing.
func (q *request) checkHealth(ctx context.Context, wanted balancer.Request) {
	for range maxHealthChecks {
		c, ok := q.h.cfg.Balancer.CheckFirst(wanted)
		if !ok {
			return
		}
		q.record.HealthChecks++
		report, ok := q.h.health(ctx, q.router, q.service, c)
		if !ok {
			return
		}
		q.h.cfg.Balancer.ObserveHealth(c.Target, report)
	}
}

// health checks the health of a target. It returns false if the check failed, or another target
// responded.
func (h *Handler) health(
	ctx context.Context, r *router.Router, service ids.Service, c balancer.HealthCheck,
) (report balancer.LoadReport, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+r.HealthPath(service), nil)
	if err != nil {
		return report, false
	}
	resp, _, err := h.cfg.Sender.Do(ctx, c.Address, req)
	if err != nil {
		return report, false
	}
	info := h.cfg.HeaderCodec.ReadHealth(resp.Header)
	if info.Target != c.Target {
		// It may be the response to an earlier request, and this one's may still come.
		closeConnection(resp)
		_ = resp.Body.Close()
		return report, false
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxHealthBytes) // so that the connection can be used again
	_ = resp.Body.Close()
	return info.LoadReport, resp.StatusCode >= 200 && resp.StatusCode < 300
}
