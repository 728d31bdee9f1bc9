// Package callers is the HTTP interface of an entry host towards callers. A Handler
// serves look-ups at /v1/lookup, forwards requests at /s/{service}/ to targets of its
// own region or to a host of another region, and runs the requests that other hosts
// relay to it. Each response has a Gypsum-Outcome header field that says whether the
// request ran. On at-most-once routes, requests with the same idempotency key run once,
// and later arrivals get the recorded response.
//
// New returns a Handler; its dependencies are the interfaces in ports.go. NewServer
// returns the HTTP server to run it in.
package callers
