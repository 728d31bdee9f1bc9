// Package refusal defines the error of a request that an entry host answers itself,
// and the codes and outcomes that callers rely on. Components return a *Refusal, and
// package callers writes it as the HTTP response.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells the caller whether its request ran at a target.
type Outcome string

// The outcomes. NotRun is a guarantee: no byte of the request can have reached a
// target, or the target itself replied that it shed the request. With Unknown the
// request may have run.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// HeaderOutcome is the response header that carries the Outcome.
const HeaderOutcome = "Gypsum-Outcome"

// Code is the stable, documented name of a reason for a refusal.
type Code string

// The codes, grouped by the stage that refuses.
const (
	CodeNotServing               Code = "notServing"
	CodeLeaving                  Code = "leaving"
	CodeUnknownService           Code = "unknownService"
	CodeServiceClosed            Code = "serviceClosed"
	CodeBadRequest               Code = "badRequest"
	CodeKeyMissing               Code = "keyMissing"
	CodeKeyUnknown               Code = "keyUnknown"
	CodeRateExceeded             Code = "rateExceeded"
	CodeQueueFull                Code = "queueFull"
	CodeDeadlineExceeded         Code = "deadlineExceeded"
	CodeNoTarget                 Code = "noTarget"
	CodeShiftCap                 Code = "shiftCap"
	CodeLinkFull                 Code = "linkFull"
	CodePeerUnreachable          Code = "peerUnreachable"
	CodeTargetFailed             Code = "targetFailed"
	CodeTargetShed               Code = "targetShed"
	CodeTargetAnswerInvalid      Code = "targetAnswerInvalid"
	CodeIdempotencyKeyMissing    Code = "idempotencyKeyMissing"
	CodeIdempotencyPrefixInvalid Code = "idempotencyPrefixInvalid"
	CodeIdempotencyMemoryFull    Code = "idempotencyMemoryFull"
	CodeIdempotencyEpochRetired  Code = "idempotencyEpochRetired"
	CodeIdempotencyKeyReused     Code = "idempotencyKeyReused"
	CodeIdempotencyAnswerDropped Code = "idempotencyAnswerDropped"
	CodeBodyTooLarge             Code = "bodyTooLarge"
	CodeHeaderTooLarge           Code = "headerTooLarge"
)

// Refusal is the error of a request that an entry host answers itself. Status, Code
// and Outcome are always set.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is the stable reason.
	Code Code
	// Outcome tells whether the request can have run.
	Outcome Outcome
	// Detail explains the refusal to a person. It must not contain a key.
	Detail string
	// RetryAfter is the wait after which a retry can succeed; zero if waiting does
	// not help.
	RetryAfter time.Duration
}

// Error returns the code and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Detail)
}

// RateExceeded returns the refusal of a request over its workspace's rate.
func RateExceeded(retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       CodeRateExceeded,
		Outcome:    NotRun,
		Detail:     "the workspace is over its rate and burst",
		RetryAfter: retryAfter,
	}
}

// Unavailable returns a refusal with status 503 of a request that did not run.
func Unavailable(code Code, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Outcome:    NotRun,
		Detail:     detail,
		RetryAfter: retryAfter,
	}
}
