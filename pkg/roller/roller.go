// Package roller keeps the newest configuration and seat table that this host
// knows, brings them into force in its parts, and never goes back. It also
// stores an operator's new configuration.
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

// The keys of the store.
const (
	// HeadKey holds the newest configuration.
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
	// the store; Document is empty in the store then.
	Manifest *chunker.Manifest `json:"manifest,omitempty"`
	// WriteID names the write, so that its author can find it again.
	WriteID string `json:"writeId"`
	// Recent lists the last writes before this one, newest first, so that the
	// author of a write that was replaced can still find it.
	Recent []Write `json:"recent,omitempty"`
}

// Write names one earlier write of the head.
type Write struct {
	Revision ids.Revision `json:"revision"`
	WriteID  string       `json:"writeId"`
}

// DecodeHead reads a stored configuration.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, errs.New("decode the configuration's head: %v", err)
	}
	return h, nil
}

// Encode returns the configuration as stored.
func (h Head) Encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, errs.New("encode the configuration's head: %v", err)
	}
	return b, nil
}

// message returns the configuration as hosts send it to each other.
func (h Head) message() *peerpb.ConfigHead {
	return &peerpb.ConfigHead{Revision: uint64(h.Revision), Document: []byte(h.Document), WriteId: h.WriteID}
}

// ErrNotCompiled says that this host cannot bring a stored configuration into
// force, because it was written for another version of the program. The host
// must not renew its lease until it can.
type ErrNotCompiled struct {
	Revision ids.Revision
	Cause    error
}

// Error names the revision and the cause.
func (e *ErrNotCompiled) Error() string {
	return fmt.Sprintf("configuration %d does not compile on this host: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrNotCompiled) Unwrap() error { return e.Cause }

// Config holds what a Roller needs. Self, Parse and Serving are required; Store
// and Confirm are needed for Apply.
type Config struct {
	Self ids.Instance
	// Parse checks a document and returns its plain form.
	Parse func(document []byte) (*config.Document, error)
	// Serving reports whether this host holds a valid serving lease.
	Serving func() bool
	// Store is the platform's store.
	Store platform.Store
	// Call gives a stored configuration to the peer at an address.
	Confirm func(ctx context.Context, address string, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error)
	// Checker may be nil.
	Checker *checker.Checker
}

// Roller implements the peers' Fetch and Confirm. Its methods may be called
// from several goroutines.
type Roller struct {
	cfg    Config
	chunks chunker.Chunker

	// applying makes changes reach the subscribers in order.
	applying sync.Mutex
	snapshot atomic.Pointer[config.Snapshot]
	table    atomic.Pointer[seater.Table]

	mu       sync.Mutex
	head     Head
	failed   error
	stored   *seater.Table
	onConfig []func(*config.Snapshot)
	onTable  []func(*seater.Table)
}

// New returns a Roller that knows nothing yet.
func New(cfg Config) *Roller {
	return &Roller{cfg: cfg, chunks: chunker.Chunker{Store: cfg.Store}}
}

// Snapshot returns the configuration in force, or nil before the first.
func (r *Roller) Snapshot() *config.Snapshot { return r.snapshot.Load() }

// Table returns the newest seat table without the seats that this host is
// giving up, or nil before the first. It must not be written to.
func (r *Roller) Table() *seater.Table { return r.table.Load() }

// Stored returns the newest seat table as stored, or nil before the first.
func (r *Roller) StoredTable() *seater.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored
}

// OnConfig calls f with each configuration before it counts as in force. It
// must be called before the first Apply.
func (r *Roller) OnConfig(f func(*config.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onConfig = append(r.onConfig, f)
}

// OnTable calls f with each seat table. It must be called before the first.
func (r *Roller) OnTable(f func(*seater.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onTable = append(r.onTable, f)
}

// Newest returns the newest revisions that this host knows of.
func (r *Roller) NewestRevisions() (ids.Revision, ids.SeatRevision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stored == nil {
		return r.head.Revision, 0
	}
	return r.head.Revision, r.stored.Revision
}

// InForce returns the revision in force, and an error if a newer one is known
// that does not compile here.
func (r *Roller) InForce() (ids.Revision, error) {
	r.mu.Lock()
	err := r.failed
	r.mu.Unlock()
	if s := r.snapshot.Load(); s != nil {
		return s.Revision, err
	}
	return 0, err
}

// ApplyHead brings a stored configuration into force unless a newer one is
// known. On return every subscriber has it. A document that does not compile
// is kept and passed on, and *ErrNotCompiled tells that it is not in force.
func (r *Roller) ApplyHead(h Head) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	if h.Revision <= r.head.Revision {
		err := r.failed
		r.mu.Unlock()
		return err
	}
	r.head = h
	subscribers := r.onConfig
	r.mu.Unlock()
	doc, err := r.cfg.Parse([]byte(h.Document))
	if err != nil {
		return r.fail(&ErrNotCompiled{Revision: h.Revision, Cause: err})
	}
	s := config.NewSnapshot(h.Revision, doc)
	for _, f := range subscribers {
		f(s)
	}
	r.snapshot.Store(s)
	_ = r.fail(nil)
	r.cfg.Checker.ConfigInForce(r.cfg.Self, h.Revision)
	logflags.Logger(logflags.Config).WithField("revision", h.Revision).Info("configuration in force")
	return nil
}

// fail records whether the newest configuration could not be compiled.
func (r *Roller) fail(err error) error {
	if err != nil {
		logflags.Logger(logflags.Config).WithField("err", err).Error("configuration not in force")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = err
	return err
}

// ApplyTable brings a stored seat table into force unless a newer one is known.
func (r *Roller) ApplyTable(t *seater.Table) {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	if r.stored != nil && t.Revision <= r.stored.Revision {
		r.mu.Unlock()
		return
	}
	r.stored = t
	r.mu.Unlock()
	r.publish(t)
}

// Renounce takes a seat of this host out of the table that its parts see, ahead
// of the write that gives the seat up. The next newer table decides anew.
func (r *Roller) HideSeat(n ids.Seat) {
	r.applying.Lock()
	defer r.applying.Unlock()
	t := r.StoredTable()
	if t == nil || int(n) >= len(t.Seats) || t.Seats[n].Holder != r.cfg.Self {
		return
	}
	c := t.Clone()
	c.Seats[n].Holder = ""
	r.publish(c)
}

// publish hands a table to the parts. The caller holds applying.
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

// Fetch implements the peers' Roller: it returns what is newer than the asker
// knows, also a configuration that does not compile here.
func (r *Roller) Fetch(_ context.Context, q *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	r.mu.Lock()
	head, table := r.head, r.stored
	r.mu.Unlock()
	reply := &peerpb.FetchReply{}
	if uint64(head.Revision) > q.GetConfigRevision() {
		reply.Config = head.message()
	}
	if table != nil && uint64(table.Revision) > q.GetSeatRevision() {
		b, err := table.Encode()
		if err != nil {
			return nil, err
		}
		reply.Seats = &peerpb.SeatTable{Revision: uint64(table.Revision), Table: b}
	}
	return reply, nil
}

// Absorb applies what a peer's Fetch returned.
func (r *Roller) ApplyFetched(f *peerpb.FetchReply) error {
	if s := f.GetSeats(); s != nil {
		t, err := seater.Decode(s.GetTable())
		if err != nil {
			return err
		}
		r.ApplyTable(t)
	}
	if c := f.GetConfig(); c != nil {
		return r.ApplyHead(headOf(c))
	}
	return nil
}

// Confirm implements the peers' Roller: it brings a stored configuration into
// force and says what is in force afterwards.
func (r *Roller) Confirm(ctx context.Context, q *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	if c := q.GetConfig(); c != nil {
		// A failure shows in the revision that is told.
		_ = r.applyMessage(ctx, c)
	}
	return r.confirmation(), nil
}

// confirmation tells what is in force here. The lease is looked at last.
func (r *Roller) confirmation() *peerpb.ConfirmReply {
	rev, _ := r.InForce()
	return &peerpb.ConfirmReply{Instance: string(r.cfg.Self), Revision: uint64(rev), Serving: r.cfg.Serving()}
}

func headOf(c *peerpb.ConfigHead) Head {
	return Head{Revision: ids.Revision(c.GetRevision()), Document: string(c.GetDocument()), WriteID: c.GetWriteId()}
}
