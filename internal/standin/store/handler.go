package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"gypsumbeam.example/gypsumbeam/service/platform"
)

// Handler serves the store over HTTP as docs/design/platform-protocol.md describes.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/keys/*", s.serveGet)
	r.Put("/v1/keys/*", s.servePut)
	r.Post("/v1/leases", s.serveGrant)
	r.Post("/v1/leases/{id}/renewal", s.serveKeepAlive)
	r.Get("/v1/leases/{id}", s.serveExpired)
	r.Delete("/v1/leases/{id}", s.serveRevoke)
	r.Get("/v1/hosts", s.serveHosts)
	return r
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	if r.URL.Query().Has("after") {
		s.serveWatch(w, r, key)
		return
	}
	e, err := s.Get(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(platform.HeaderVersion, formatVersion(e.Version))
	if e.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Header.Get("If-None-Match") == strconv.Quote(formatVersion(e.Version)) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeBody(w, e.Value)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	if err != nil || waitMs <= 0 {
		http.Error(w, "waitMs must be a positive number", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	e, err := s.Watch(ctx, key, platform.Version(after))
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(platform.HeaderVersion, formatVersion(e.Version))
	writeBody(w, e.Value)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect must be a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.CompareAndSwap(r.Context(), key, platform.Version(expect), value)
	var conflict *platform.ErrConflict
	if errors.As(err, &conflict) {
		w.Header().Set(platform.HeaderVersion, formatVersion(conflict.Current))
		w.WriteHeader(http.StatusConflict)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(platform.HeaderVersion, formatVersion(version))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	ttlMs, err := strconv.ParseInt(r.URL.Query().Get("ttlMs"), 10, 64)
	if err != nil || ttlMs <= 0 {
		http.Error(w, "ttlMs must be a positive number", http.StatusBadRequest)
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(ttlMs)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, platform.LeaseBody{ID: id})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	writeEmpty(w, s.KeepAlive(r.Context(), leaseParam(r)))
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	writeEmpty(w, s.Revoke(r.Context(), leaseParam(r)))
}

func (s *Store) serveExpired(w http.ResponseWriter, r *http.Request) {
	id := leaseParam(r)
	expired, err := s.Expired(r.Context(), id)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, platform.LeaseBody{ID: id, Expired: expired})
}

func (s *Store) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, platform.HostsBody{Hosts: hosts})
}

func leaseParam(r *http.Request) platform.LeaseID {
	return platform.LeaseID(chi.URLParam(r, "id"))
}

// writeEmpty writes the response of a call that returns only an error.
func writeEmpty(w http.ResponseWriter, err error) {
	var expired *platform.ErrLeaseExpired
	switch {
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		writeError(w, err)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// writeError writes the response of a failed call. For a lost response it aborts the
// connection.
func writeError(w http.ResponseWriter, err error) {
	var lost *ErrResponseLost
	if errors.As(err, &lost) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, b)
}

func writeBody(w http.ResponseWriter, b []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // the caller has disconnected if this fails
}

func formatVersion(v platform.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}
