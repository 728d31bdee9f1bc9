package operators

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Limits of the reads after the response to a document was lost. The host that
// received the document may take ApplyTimeout to store it.
const (
	readBackTimeout  = ApplyTimeout + 5*time.Second
	readBackInterval = 500 * time.Millisecond
)

// ErrUnresolved means that the response to a document was lost, and that later reads
// did not show whether the document was stored.
type ErrUnresolved struct {
	// Base is the revision on which the document is based.
	Base ids.Revision
	// Newest is the newest revision that a host returned; zero if none did.
	Newest ids.Revision
	// Cause is the error by which the response was lost.
	Cause error
}

// Error names the document's revision, the cause and the newest revision.
func (e *ErrUnresolved) Error() string {
	return fmt.Sprintf("not known whether the document was stored as revision %d: %v; the newest revision heard of is %d",
		e.Base+1, e.Cause, e.Newest)
}

// Unwrap returns Cause.
func (e *ErrUnresolved) Unwrap() error { return e.Cause }

// Apply stores a document that is based on the revision base. If the connection
// breaks after the document may have been sent, Apply reads the stored document to
// find out whether it was stored. Its error is a *Problem, an *ErrUnreachable, when
// nothing was sent, or an *ErrUnresolved.
func (c *Client) Apply(ctx context.Context, text []byte, base ids.Revision) (ApplyResult, error) {
	var last error
	for _, host := range c.Hosts {
		applied, err := c.put(ctx, host, text, base)
		var p *Problem
		switch {
		case err == nil, errors.As(err, &p):
			return applied, err
		case !neverSent(err):
			return c.readBack(ctx, text, base, err)
		}
		last = err
	}
	return ApplyResult{}, &ErrUnreachable{Hosts: c.Hosts, Cause: last}
}

// neverSent reports whether err means that no connection could be opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readBack reads the newest document of all hosts until one has the revision that
// the document would have.
func (c *Client) readBack(ctx context.Context, text []byte, base ids.Revision, cause error) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	unresolved := &ErrUnresolved{Base: base, Cause: cause}
	for {
		for _, host := range c.Hosts {
			doc, err := c.documentOf(ctx, host)
			if err != nil {
				continue
			}
			unresolved.Newest = max(unresolved.Newest, doc.Revision)
			if doc.Revision == base+1 {
				return c.compareStored(ctx, doc, text, base)
			}
		}
		// A newer revision has replaced base+1, which can no longer be read.
		if unresolved.Newest > base+1 {
			return ApplyResult{}, unresolved
		}
		select {
		case <-time.After(readBackInterval):
		case <-ctx.Done():
			return ApplyResult{}, unresolved
		}
	}
}

// compareStored returns the result of Apply, given the document doc that is stored
// as the revision base+1.
func (c *Client) compareStored(ctx context.Context, doc Document, text []byte, base ids.Revision) (ApplyResult, error) {
	if !bytes.Equal(doc.Text, text) {
		return ApplyResult{}, &Problem{
			Status: http.StatusConflict, Code: CodeConflict, Base: base, Current: doc.Revision,
			Detail: fmt.Sprintf("the document was made against revision %d, but another one is stored as revision %d; nothing was changed",
				base, doc.Revision),
		}
	}
	return c.rolloutState(ctx, doc.Revision)
}

// rolloutState returns where a stored revision is in force, according to the states
// of the hosts.
func (c *Client) rolloutState(ctx context.Context, revision ids.Revision) (ApplyResult, error) {
	applied := ApplyResult{Revision: revision, InForce: []ids.Instance{}, Unconfirmed: []ids.Instance{}}
	known, err := c.knownHosts(ctx)
	if err != nil {
		// The revision is stored; where it is in force is unknown.
		return applied, nil //nolint:nilerr // The document was read before.
	}
	for _, h := range known {
		switch {
		case h.Instance == "":
		case !h.Missing && h.Revision >= revision:
			applied.InForce = append(applied.InForce, h.Instance)
		default:
			applied.Unconfirmed = append(applied.Unconfirmed, h.Instance)
		}
	}
	applied.Accepted = len(applied.InForce) > 0 && len(applied.Unconfirmed) == 0
	return applied, nil
}
