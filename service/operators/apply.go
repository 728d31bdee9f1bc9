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

// The bounds of reading back after an answer was lost. The host that has the
// document may still be storing it for ApplyTimeout.
const (
	readBackBound    = ApplyTimeout + 5*time.Second
	readBackInterval = 500 * time.Millisecond
)

// ErrUnresolved says that the answer to a document was lost, and that reading
// back did not tell whether it was stored.
type ErrUnresolved struct {
	// Base is the revision that the document was made against.
	Base ids.Revision
	// Newest is the newest revision that a host told of, if any did.
	Newest ids.Revision
	Cause  error
}

// Error says what is known.
func (e *ErrUnresolved) Error() string {
	return fmt.Sprintf("not known whether the document was stored as revision %d: %v; the newest revision heard of is %d",
		e.Base+1, e.Cause, e.Newest)
}

// Unwrap returns the error of the lost answer.
func (e *ErrUnresolved) Unwrap() error { return e.Cause }

// Apply stores a document that was made against the revision base. When the
// connection breaks after the document may have been sent, it reads back before
// it claims anything. Its error is a *Problem, *ErrUnreachable (nothing was
// sent) or *ErrUnresolved.
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

// neverSent reports whether no connection could be made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readBack looks for the document under the next revision at all hosts.
func (c *Client) readBack(ctx context.Context, text []byte, base ids.Revision, cause error) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackBound)
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
				return c.settle(ctx, doc, text, base)
			}
		}
		// A newer revision hides what the next one was.
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

// settle tells what the document that stands under the next revision means.
func (c *Client) settle(ctx context.Context, doc Document, text []byte, base ids.Revision) (ApplyResult, error) {
	if !bytes.Equal(doc.Text, text) {
		return ApplyResult{}, &Problem{
			Status: http.StatusConflict, Code: CodeConflict, Base: base, Current: doc.Revision,
			Detail: fmt.Sprintf("the document was made against revision %d, but another one is stored as revision %d; nothing was changed",
				base, doc.Revision),
		}
	}
	return c.inForce(ctx, doc.Revision)
}

// inForce tells where a stored revision is in force, by what hosts say of it.
func (c *Client) inForce(ctx context.Context, revision ids.Revision) (ApplyResult, error) {
	applied := ApplyResult{Revision: revision, InForce: []ids.Instance{}, Unconfirmed: []ids.Instance{}}
	known, err := c.known(ctx)
	if err != nil {
		// It is known to be stored, and that is all.
		return applied, nil //nolint:nilerr // The document was read back before.
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
