package demo

import (
	"fmt"
	"time"
)

// State is the result of checking a promise.
type State string

// The states of a promise. NotSeen means that too little happened in the run to check
// it.
const (
	Held    State = "held"
	Broken  State = "broken"
	NotSeen State = "not seen"
)

// Promise is a promise of the system and the result of checking it against the
// records of a run.
type Promise struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	// Seen says what was observed.
	Seen string `json:"seen"`
	// Broken is the number of violations, and Found describes the first of them.
	Broken int      `json:"broken"`
	Found  []string `json:"found"`
}

// The time limits of the promises.
const (
	// maxInForceDelay is the maximum time until an accepted change is in force on all
	// hosts, and until a revoked key is refused by all hosts.
	maxInForceDelay = 9 * time.Second
	// maxDrainDelay is the maximum time until a draining target gets no new requests.
	maxDrainDelay = 3 * time.Second
)

// maxFoundCases is the maximum length of Promise.Found.
const maxFoundCases = 5

// promiseCheck collects the violations of a promise.
type promiseCheck struct {
	promise Promise
	// observations is the number of events that could have violated the promise.
	observations int
}

func newPromiseCheck(name string) *promiseCheck {
	return &promiseCheck{promise: Promise{Name: name, Found: []string{}}}
}

func (c *promiseCheck) fail(format string, args ...any) {
	c.promise.Broken++
	if len(c.promise.Found) < maxFoundCases {
		c.promise.Found = append(c.promise.Found, fmt.Sprintf(format, args...))
	}
}

// result returns the promise with its state. A promise without violations and
// without observations is NotSeen.
func (c *promiseCheck) result(format string, args ...any) Promise {
	c.promise.Seen = fmt.Sprintf(format, args...)
	switch {
	case c.promise.Broken > 0:
		c.promise.State = Broken
	case c.observations == 0:
		c.promise.State = NotSeen
	default:
		c.promise.State = Held
	}
	return c.promise
}

// audit checks every promise against the records.
func audit(r *records) []Promise {
	return []Promise{
		auditShift(r),
		auditOverload(r),
		auditWorkspaces(r),
		auditSecrets(r),
		auditKeyRevocation(r),
		auditRates(r),
		auditAnswers(r),
		auditNotRun(r),
		auditAtMostOnce(r),
		auditLeavingTargets(r),
		auditGracefulStop(r),
		auditInForce(r),
		auditInvariants(r),
	}
}

// auditInvariants checks that the checker found no broken invariant.
func auditInvariants(r *records) Promise {
	check := newPromiseCheck("no invariant broke inside the program")
	check.observations = 1
	for _, b := range r.breaches {
		check.fail("%s", b)
	}
	return check.result("%d breaches", len(r.breaches))
}
