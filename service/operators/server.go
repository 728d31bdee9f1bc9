package operators

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"gypsumbeam.example/gypsumbeam/pkg/logflags"
)

// Limits of the HTTP server for operators.
const (
	// ApplyTimeout bounds how long a host tries to store a document and to find out
	// whether it is stored, even if the operator disconnects.
	ApplyTimeout   = 30 * time.Second
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = ApplyTimeout + 10*time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// Config holds the dependencies of a Server. All fields are required.
type Config struct {
	Host          Host
	Configuration Configuration
	Applier       Applier
	Reporter      Reporter
	Seats         Seats
}

// Server is the HTTP server for operators. Create one with New.
type Server struct {
	cfg  Config
	http *http.Server
	done chan struct{}
}

// New returns a Server that is ready to Start.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Handler returns the handler of the operators' interface, for use without Start.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.health)
	r.Get("/readyz", s.ready)
	r.Get("/metrics", s.metrics)
	r.Get("/v1/status", s.status)
	r.Get("/v1/hosts", s.hosts)
	r.Get("/v1/report", s.report)
	r.Get("/v1/presets", s.presets)
	r.Get("/v1/config", s.document)
	r.Put("/v1/config", s.apply)
	r.Delete("/v1/seats/{instance}", s.abandon)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, &Problem{Status: http.StatusNotFound, Code: CodeNotFound, Detail: "there is no such path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, &Problem{Status: http.StatusMethodNotAllowed, Code: CodeBadRequest,
			Detail: "the path does not know this method"})
	})
	return r
}

// Start serves on l in the background until Stop. It may be called once.
func (s *Server) Start(l net.Listener) {
	go func() {
		defer close(s.done)
		if err := s.http.Serve(l); err != http.ErrServerClosed {
			logflags.Logger(logflags.Operators).WithField("err", err).Error("HTTP server for operators failed; operators' requests are no longer served")
		}
	}()
}

// Stop stops accepting requests and waits for those in flight. When ctx ends, it
// aborts them.
func (s *Server) Stop(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

// Done returns a channel that is closed once a started Server has stopped accepting
// connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// health responds with status 200 whenever the process can respond at all.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, "ok\n")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	r := s.cfg.Host.Ready()
	if r == nil {
		writeText(w, "ready\n")
		return
	}
	writeProblem(w, &Problem{Status: http.StatusServiceUnavailable, Code: string(r.Code), Detail: r.Detail})
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	write(w, []byte(text))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := s.cfg.Reporter.WriteJSON(w); err != nil {
		logflags.Logger(logflags.Operators).WithField("err", err).Warn("response with metrics not sent completely")
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.Reporter.Report())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		writeProblem(w, &Problem{Status: http.StatusInternalServerError, Code: CodeInternal, Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	write(w, append(b, '\n'))
}

// writeProblem responds with p after setting its Type and Title.
func writeProblem(w http.ResponseWriter, p *Problem) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	b, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Detail, p.Status)
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	write(w, append(b, '\n'))
}

// write sends the body. An error means that the operator disconnected.
func write(w http.ResponseWriter, b []byte) {
	if _, err := w.Write(b); err != nil {
		logflags.Logger(logflags.Operators).WithField("err", err).Warn("response to an operator not sent completely")
	}
}
