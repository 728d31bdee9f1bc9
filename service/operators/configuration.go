package operators

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// document responds with the newest stored document that the host knows.
func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	reply, err := s.cfg.Configuration.Fetch(r.Context(), &peerpb.FetchRequest{SeatRevision: math.MaxUint64})
	if err != nil {
		writeProblem(w, &Problem{Status: http.StatusInternalServerError, Code: CodeInternal, Detail: err.Error()})
		return
	}
	head := reply.GetConfig()
	if head == nil {
		writeProblem(w, &Problem{Status: http.StatusNotFound, Code: CodeNoConfiguration,
			Detail: "the host knows of no configuration yet; apply the first one with base revision 0"})
		return
	}
	revision := strconv.FormatUint(head.GetRevision(), 10)
	w.Header().Set("ETag", `"`+revision+`"`)
	w.Header().Set(HeaderRevision, revision)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	write(w, head.GetDocument())
}

func (s *Server) presets(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.cfg.Configuration.Snapshot()
	list := PresetList{Presets: []ids.Preset{}}
	if snapshot != nil {
		list.Revision = snapshot.Revision
		list.InForce = snapshot.Document.Preset
		for _, p := range snapshot.Document.Presets {
			list.Presets = append(list.Presets, p.Name)
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// apply stores the request body as the document that follows the base revision.
func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	base, err := baseRevision(r)
	if err != nil {
		writeProblem(w, &Problem{Status: http.StatusPreconditionRequired, Code: CodeBaseMissing, Detail: err.Error()})
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, parser.MaxDocumentBytes))
	if err != nil {
		writeProblem(w, bodyProblem(err))
		return
	}
	// If the operator disconnects, the host still completes the write and logs its
	// result.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), ApplyTimeout)
	defer cancel()
	result, err := s.cfg.Applier.Apply(ctx, text, base)
	if err != nil {
		p := applyProblem(err)
		logflags.Logger(logflags.Operators).WithField("base", base).WithField("code", p.Code).Info("applying a configuration document failed")
		writeProblem(w, p)
		return
	}
	logflags.Logger(logflags.Operators).WithField("revision", result.Revision).
		WithField("accepted", result.Accepted).Info("configuration document stored")
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusAccepted
	}
	writeJSON(w, status, ApplyResult{
		Revision:    result.Revision,
		Accepted:    result.Accepted,
		InForce:     nonNil(result.InForce),
		Unconfirmed: nonNil(result.Unconfirmed),
	})
}

// nonNil returns all, or an empty slice if it is nil, so that JSON shows it as [].
func nonNil[T any](all []T) []T {
	if all == nil {
		return []T{}
	}
	return all
}

// baseRevision returns the revision on which the document in r is based.
func baseRevision(r *http.Request) (ids.Revision, error) {
	base := r.URL.Query().Get("base")
	if base == "" {
		base = strings.Trim(r.Header.Get("If-Match"), `"`)
	}
	n, err := strconv.ParseUint(base, 10, 64)
	if err != nil {
		return 0, errors.New("the revision that the document was made against is needed, as ?base=N or If-Match: \"N\"")
	}
	return ids.Revision(n), nil
}

func bodyProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge,
			Detail: "the document has more than " + strconv.Itoa(parser.MaxDocumentBytes) + " bytes"}
	}
	return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Detail: "the document did not come whole"}
}

func faultsProblem(faults *decoder.ErrFaults) *Problem {
	p := &Problem{
		Status: http.StatusUnprocessableEntity,
		Code:   CodeFaults,
		Detail: "the document has faults; nothing was stored",
		Faults: faults.Faults,
	}
	if faults.Truncated {
		p.Detail = "the document has these faults, and there may be more; nothing was stored"
	}
	return p
}

// applyProblem returns the Problem for an error of an Applier.
func applyProblem(err error) *Problem {
	var faults *decoder.ErrFaults
	var conflict *roller.ErrConflict
	var unresolved *roller.ErrUnresolved
	var notStored *roller.ErrNotStored
	switch {
	case errors.As(err, &faults):
		return faultsProblem(faults)
	case errors.As(err, &conflict):
		return &Problem{Status: http.StatusConflict, Code: CodeConflict, Detail: conflict.Error(),
			Base: conflict.Base, Current: conflict.Current}
	case errors.As(err, &unresolved):
		return &Problem{Status: http.StatusGatewayTimeout, Code: CodeUnresolved, Detail: unresolved.Error(),
			Revision: unresolved.Revision, WriteID: unresolved.WriteID}
	case errors.As(err, &notStored):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeNotStored, Detail: notStored.Error()}
	default:
		return &Problem{Status: http.StatusInternalServerError, Code: CodeInternal, Detail: err.Error()}
	}
}
