package operators

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/leaseholder"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// CodeStillHeld means that seats cannot be released, because the lease of their
// holder is still valid.
const CodeStillHeld = "seatsStillHeld"

// AbandonResult is the response to the release of an instance's seats.
type AbandonResult struct {
	Instance ids.Instance `json:"instance"`
}

// abandon releases the seats of an instance that has ended for good.
func (s *Server) abandon(w http.ResponseWriter, r *http.Request) {
	instance := ids.Instance(chi.URLParam(r, "instance"))
	err := s.cfg.Seats.Abandon(r.Context(), instance)
	var transition *seater.ErrTransition
	var leased *leaseholder.ErrStillLeased
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, AbandonResult{Instance: instance})
	case errors.As(err, &transition):
		writeProblem(w, &Problem{Status: http.StatusNotFound, Code: CodeNotFound, Detail: transition.Error()})
	case errors.As(err, &leased):
		writeProblem(w, &Problem{Status: http.StatusConflict, Code: CodeStillHeld, Detail: leased.Error()})
	default:
		writeProblem(w, &Problem{Status: http.StatusServiceUnavailable, Code: CodeUnresolved,
			Detail: "not known whether the seats were freed; look at the status: " + err.Error()})
	}
}

// Abandon releases the seats of an instance whose process has ended for good. Its
// error is a *Problem or an *ErrUnreachable.
func (c *Client) Abandon(ctx context.Context, instance ids.Instance) error {
	return c.tryHosts(ctx, func(ctx context.Context, host string) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+host+"/v1/seats/"+url.PathEscape(string(instance)), nil)
		if err != nil {
			return err
		}
		_, _, err = c.send(r)
		return err
	})
}
