// Package roller rolls out configurations and seat tables. A Roller keeps the
// newest ones that this host knows, hands them to its subscribers, and ignores
// older ones. Apply stores an operator's new configuration and waits until the
// other hosts confirm it.
//
// A caller creates a Roller with New, registers subscribers with OnConfig and
// OnTable, and then passes what it reads from the store to ApplyHead and
// ApplyTable, and replies of peers to ApplyFetched.
package roller

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/chunker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// Store keys.
const (
	// HeadKey holds the newest configuration, encoded as a Head.
	HeadKey = "config/head"
	// SeatsKey holds the seat table.
	SeatsKey = "seats"
)

// Head is one stored configuration.
type Head struct {
	Revision ids.Revision `json:"revision"`
	// Document is the text as the operator wrote it.
	Document string `json:"document"`
	// Manifest lists the chunks of a document that is too long for one value of
	// the store. In the store either Document or Manifest is set.
	Manifest *chunker.Manifest `json:"manifest,omitempty"`
	// WriteID identifies the write, so that a writer whose reply was lost can find
	// out whether the write took effect.
	WriteID string `json:"writeId"`
	// Recent lists the last writes before this one, newest first, so that the
	// writer of a head that was replaced meanwhile can still find its write.
	Recent []Write `json:"recent,omitempty"`
}

// Write identifies an earlier write of the head.
type Write struct {
	Revision ids.Revision `json:"revision"`
	WriteID  string       `json:"writeId"`
}

// DecodeHead decodes the value of HeadKey.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, errs.New("decode the stored configuration head: %v", err)
	}
	return h, nil
}

// Encode returns the value of HeadKey.
func (h Head) Encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, errs.New("encode the configuration head: %v", err)
	}
	return b, nil
}

// toMessage returns the message that carries the head with its whole document.
func (h Head) toMessage() *peerpb.ConfigHead {
	return &peerpb.ConfigHead{Revision: uint64(h.Revision), Document: []byte(h.Document), WriteId: h.WriteID}
}

// ErrNotCompiled is returned if a stored configuration does not compile on this
// host, because it was written for another version of the program. The host must
// not renew its lease until a configuration that compiles is in force.
type ErrNotCompiled struct {
	Revision ids.Revision
	Cause    error
}

// Error implements error.
func (e *ErrNotCompiled) Error() string {
	return fmt.Sprintf("configuration %d does not compile on this host: %v", e.Revision, e.Cause)
}

// Unwrap returns Cause.
func (e *ErrNotCompiled) Unwrap() error { return e.Cause }

// Config configures a Roller. Self, Parse and Serving are required; Store is
// needed for Apply and for documents in chunks, Confirm for Apply.
type Config struct {
	// Self is this host's instance ID.
	Self ids.Instance
	// Parse decodes and validates a document.
	Parse func(document []byte) (*config.Document, error)
	// Serving reports whether this host holds a valid serving lease.
	Serving func() bool
	// Store is the platform's store.
	Store platform.Store
	// Confirm calls Roller.Confirm on the peer at an address.
	Confirm func(ctx context.Context, address string, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error)
	// Checker, if not nil, verifies revisions and seats across all hosts of the
	// process.
	Checker *checker.Checker
}

// Roller holds the newest configuration and seat table. It serves Fetch and
// Confirm to peers. It is safe for concurrent use.
type Roller struct {
	cfg    Config
	chunks chunker.Chunker

	// applyMu makes changes reach the subscribers in order. Lock order: applyMu
	// before mu.
	applyMu  sync.Mutex
	snapshot atomic.Pointer[config.Snapshot]
	table    atomic.Pointer[seater.Table]

	mu          sync.Mutex
	head        Head
	compileErr  error // error of head, nil if that is in force
	storedTable *seater.Table
	onConfig    []func(*config.Snapshot)
	onTable     []func(*seater.Table)
}

// New returns a Roller without a configuration or seat table.
func New(cfg Config) *Roller {
	return &Roller{cfg: cfg, chunks: chunker.Chunker{Store: cfg.Store}}
}

// Snapshot returns the configuration in force, or nil before the first one.
func (r *Roller) Snapshot() *config.Snapshot { return r.snapshot.Load() }

// Table returns the newest seat table without the seats hidden by HideSeat, or nil
// before the first one. The caller must not modify it.
func (r *Roller) Table() *seater.Table { return r.table.Load() }

// StoredTable returns the newest seat table as stored, or nil before the first
// one. The caller must not modify it.
func (r *Roller) StoredTable() *seater.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storedTable
}

// OnConfig registers f, which is called with each new configuration before
// Snapshot and InForce return it. It must be called before the first
// configuration is applied.
func (r *Roller) OnConfig(f func(*config.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onConfig = append(r.onConfig, f)
}

// OnTable registers f, which is called with each new seat table before Table
// returns it. It must be called before the first table is applied.
func (r *Roller) OnTable(f func(*seater.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onTable = append(r.onTable, f)
}

// NewestRevisions returns the newest revisions of the configuration and the seat
// table that this host knows, 0 if none. That configuration may not be in force.
func (r *Roller) NewestRevisions() (ids.Revision, ids.SeatRevision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storedTable == nil {
		return r.head.Revision, 0
	}
	return r.head.Revision, r.storedTable.Revision
}

// InForce returns the revision in force, 0 if none. The error is an
// *ErrNotCompiled if a newer revision is known that does not compile on this host.
func (r *Roller) InForce() (ids.Revision, error) {
	r.mu.Lock()
	err := r.compileErr
	r.mu.Unlock()
	if s := r.snapshot.Load(); s != nil {
		return s.Revision, err
	}
	return 0, err
}

// ApplyHead brings a stored configuration into force unless the same or a newer
// one is known. h must hold its whole document. When ApplyHead returns, every
// subscriber has been called. A document that does not compile is still kept for
// peers to fetch, and the error is an *ErrNotCompiled until a newer one compiles.
func (r *Roller) ApplyHead(h Head) error {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.mu.Lock()
	if h.Revision <= r.head.Revision {
		err := r.compileErr
		r.mu.Unlock()
		return err
	}
	r.head = h
	subscribers := r.onConfig
	r.mu.Unlock()
	doc, err := r.cfg.Parse([]byte(h.Document))
	if err != nil {
		return r.setCompileErr(&ErrNotCompiled{Revision: h.Revision, Cause: err})
	}
	s := config.NewSnapshot(h.Revision, doc)
	for _, f := range subscribers {
		f(s)
	}
	r.snapshot.Store(s)
	_ = r.setCompileErr(nil)
	r.cfg.Checker.ConfigInForce(r.cfg.Self, h.Revision)
	logflags.Logger(logflags.Config).WithField("revision", h.Revision).Info("configuration in force")
	return nil
}

// setCompileErr records the result of compiling the newest configuration and
// returns err.
func (r *Roller) setCompileErr(err error) error {
	if err != nil {
		logflags.Logger(logflags.Config).WithField("err", err).Error("configuration does not compile on this host; any earlier one stays in force")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compileErr = err
	return err
}

// ApplyTable publishes a stored seat table unless the same or a newer one is
// known.
func (r *Roller) ApplyTable(t *seater.Table) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.mu.Lock()
	if r.storedTable != nil && t.Revision <= r.storedTable.Revision {
		r.mu.Unlock()
		return
	}
	r.storedTable = t
	r.mu.Unlock()
	r.publish(t)
}

// HideSeat removes a seat of this host from the table that subscribers and Table
// see, before the seat is released in the store. The next newer table replaces it
// whole, and may hold the seat again.
func (r *Roller) HideSeat(n ids.Seat) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	t := r.StoredTable()
	if t == nil || int(n) >= len(t.Seats) || t.Seats[n].Holder != r.cfg.Self {
		return
	}
	visible := t.Clone()
	visible.Seats[n].Holder = ""
	r.publish(visible)
}

// publish hands a table to the subscribers. The caller holds applyMu.
func (r *Roller) publish(t *seater.Table) {
	r.mu.Lock()
	subscribers := r.onTable
	r.mu.Unlock()
	for _, f := range subscribers {
		f(t)
	}
	r.table.Store(t)
	r.cfg.Checker.SeatsHeld(r.cfg.Self, t.SeatNumbersOf(r.cfg.Self))
}

// Fetch implements peers.Roller. It returns the configuration and the seat table
// if they are newer than the caller's revisions, also a configuration that does
// not compile on this host.
func (r *Roller) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	r.mu.Lock()
	head, table := r.head, r.storedTable
	r.mu.Unlock()
	reply := &peerpb.FetchReply{}
	if uint64(head.Revision) > req.GetConfigRevision() {
		reply.Config = head.toMessage()
	}
	if table != nil && uint64(table.Revision) > req.GetSeatRevision() {
		b, err := table.Encode()
		if err != nil {
			return nil, err
		}
		reply.Seats = &peerpb.SeatTable{Revision: uint64(table.Revision), Table: b}
	}
	return reply, nil
}

// ApplyFetched applies the reply of a peer's Fetch. The error is that of decoding
// the seat table or of ApplyHead.
func (r *Roller) ApplyFetched(reply *peerpb.FetchReply) error {
	if s := reply.GetSeats(); s != nil {
		t, err := seater.Decode(s.GetTable())
		if err != nil {
			return err
		}
		r.ApplyTable(t)
	}
	if c := reply.GetConfig(); c != nil {
		return r.ApplyHead(headFromMessage(c))
	}
	return nil
}

// Confirm implements peers.Roller. It applies the configuration in the request, if
// any, and returns the revision in force afterwards. It never returns an error.
func (r *Roller) Confirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	if c := req.GetConfig(); c != nil {
		// The caller sees a failure by the revision in the reply.
		_ = r.applyMessage(ctx, c)
	}
	return r.confirmReply(), nil
}

// confirmReply returns the revision in force and whether this host serves. The
// lease is checked after the revision is read, so that a valid lease vouches for
// it.
func (r *Roller) confirmReply() *peerpb.ConfirmReply {
	rev, _ := r.InForce()
	return &peerpb.ConfirmReply{Instance: string(r.cfg.Self), Revision: uint64(rev), Serving: r.cfg.Serving()}
}

func headFromMessage(msg *peerpb.ConfigHead) Head {
	return Head{Revision: ids.Revision(msg.GetRevision()), Document: string(msg.GetDocument()), WriteID: msg.GetWriteId()}
}
