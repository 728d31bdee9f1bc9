package callers

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// statusClientClosedRequest is recorded for requests whose caller closed the
// connection.
const statusClientClosedRequest = 499

// problem is the body of an error response, as in RFC 9457.
type problem struct {
	Type         string          `json:"type"`
	Title        string          `json:"title"`
	Status       int             `json:"status"`
	Detail       string          `json:"detail"`
	Code         refusal.Code    `json:"code"`
	Outcome      refusal.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
}

// writeProblem writes a refusal to the caller.
func writeProblem(w http.ResponseWriter, rf *refusal.Refusal) {
	p := problem{
		Type:    "about:blank",
		Title:   http.StatusText(rf.Status),
		Status:  rf.Status,
		Detail:  rf.Detail,
		Code:    rf.Code,
		Outcome: rf.Outcome,
	}
	header := w.Header()
	if rf.RetryAfter > 0 {
		p.RetryAfterMs = ceilDiv(rf.RetryAfter, time.Millisecond)
		header.Set("Retry-After", strconv.FormatInt(ceilDiv(rf.RetryAfter, time.Second), 10))
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: the struct has only strings and integers
	}
	if rf.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "no-store")
	header.Set(refusal.HeaderOutcome, string(rf.Outcome))
	w.WriteHeader(rf.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}

func ceilDiv(d, unit time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(unit)))
}

// asRefusal returns err as a refusal. An error that is not a refusal comes from the
// request's context, before anything was sent.
func asRefusal(err error) *refusal.Refusal {
	var rf *refusal.Refusal
	if errors.As(err, &rf) {
		return rf
	}
	return contextRefusal(err, refusal.NotRun)
}

// contextRefusal returns the refusal of a request whose context has ended with err.
func contextRefusal(err error, outcome refusal.Outcome) *refusal.Refusal {
	if errors.Is(err, context.Canceled) {
		return &refusal.Refusal{
			Status:  statusClientClosedRequest,
			Code:    refusal.CodeDeadlineExceeded,
			Outcome: outcome,
			Detail:  "the caller left before the answer",
		}
	}
	return &refusal.Refusal{
		Status:  http.StatusGatewayTimeout,
		Code:    refusal.CodeDeadlineExceeded,
		Outcome: outcome,
		Detail:  "the request's time is over",
	}
}

// withOutcome returns a copy of rf with another outcome.
func withOutcome(rf *refusal.Refusal, outcome refusal.Outcome) *refusal.Refusal {
	c := *rf
	c.Outcome = outcome
	return &c
}

func badRequest(detail string) *refusal.Refusal {
	return refuse(http.StatusBadRequest, refusal.CodeBadRequest, detail)
}

// refuse returns the refusal of a request that did not run and that a retry would not
// help.
func refuse(status int, code refusal.Code, detail string) *refusal.Refusal {
	return &refusal.Refusal{Status: status, Code: code, Outcome: refusal.NotRun, Detail: detail}
}
