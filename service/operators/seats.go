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

// CodeStillHeld says that seats cannot be abandoned.
const CodeStillHeld = "seatsStillHeld"

// Abandoned is the answer to the end of a holder's seats.
type AbandonResult struct {
	Instance ids.Instance `json:"instance"`
}

// abandon frees the seats of an instance that has ended for good.
func (s *Server) abandon(w http.ResponseWriter, r *http.Request) {
	silent := ids.Instance(chi.URLParam(r, "instance"))
	err := s.cfg.Seats.Abandon(r.Context(), silent)
	var step *seater.ErrTransition
	var leased *leaseholder.ErrStillLeased
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, AbandonResult{Instance: silent})
	case errors.As(err, &step):
		writeProblem(w, &Problem{Status: http.StatusNotFound, Code: CodeNotFound, Detail: step.Error()})
	case errors.As(err, &leased):
		writeProblem(w, &Problem{Status: http.StatusConflict, Code: CodeStillHeld, Detail: leased.Error()})
	default:
		writeProblem(w, &Problem{Status: http.StatusServiceUnavailable, Code: CodeUnresolved,
			Detail: "not known whether the seats were freed; look at the status: " + err.Error()})
	}
}

// Abandon frees the seats of an instance whose process has ended for good. Its
// error is a *Problem or *ErrUnreachable.
func (c *Client) Abandon(ctx context.Context, silent ids.Instance) error {
	return c.first(ctx, func(ctx context.Context, host string) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+host+"/v1/seats/"+url.PathEscape(string(silent)), nil)
		if err != nil {
			return err
		}
		_, _, err = c.answer(r)
		return err
	})
}
