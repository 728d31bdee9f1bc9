package callers

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// retryAfterNoConfig is the RetryAfter of a host without a configuration.
const retryAfterNoConfig = time.Second

// serveLookup responds with the entry hosts that a caller should use.
func (h *Handler) serveLookup(w http.ResponseWriter, r *http.Request) {
	resp, err := h.lookup(r)
	if err != nil {
		writeProblem(w, asRefusal(err))
		return
	}
	body, err := json.Marshal(resp)
	if err != nil {
		panic(err) // cannot happen: the response has only strings and finite numbers
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "private, max-age="+strconv.FormatInt(resp.TTLMs/int64(time.Second/time.Millisecond), 10))
	// A look-up sends nothing to a target.
	header.Set(refusal.HeaderOutcome, string(refusal.NotRun))
	_, _ = w.Write(body) // the caller may have disconnected
}

func (h *Handler) lookup(r *http.Request) (*LookupResponse, error) {
	if rf := h.cfg.Lease.Check(); rf != nil {
		return nil, rf
	}
	q := r.URL.Query()
	svc := ids.Service(q.Get("service"))
	if svc == "" {
		return nil, badRequest("the parameter service is missing")
	}
	s := h.cfg.ConfigSource.Snapshot()
	if s == nil {
		return nil, noConfiguration()
	}
	if _, ok := s.Service(svc); !ok {
		return nil, unknownService()
	}
	region := ids.Region(q.Get("region"))
	if _, ok := s.Region(region); !ok && region != "" {
		return nil, badRequest("the parameter region names no region")
	}
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		address = r.RemoteAddr
	}
	return h.cfg.Steerer.Lookup(svc, region, address)
}

func noConfiguration() *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeNotServing, "this host has no configuration yet", retryAfterNoConfig)
}

func unknownService() *refusal.Refusal {
	return refuse(http.StatusNotFound, refusal.CodeUnknownService, "the configuration has no such service")
}
