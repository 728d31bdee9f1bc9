package replicator_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/replicaserver"
	"gypsumbeam.example/gypsumbeam/pkg/replicator"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// wire is a Caller that reaches backers after a delay.
type wire struct {
	delay time.Duration
	peers map[string]*replicaserver.Server
}

var errDead = errors.New("dead")

func (w *wire) Copy(ctx context.Context, address string, r *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	time.Sleep(w.delay)
	if w.peers[address] == nil {
		return nil, errDead
	}
	return w.peers[address].Copy(ctx, r)
}

func (w *wire) Recall(ctx context.Context, address string, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	if w.peers[address] == nil {
		return nil, errDead
	}
	return w.peers[address].Recall(ctx, r)
}

// desk is a copier in zone a of the region west, and a host in each other place.
type desk struct {
	*replicator.Replicator
	wire  *wire
	hosts []*peerpb.HostState
}

func newDesk(cfg replicator.Config) *desk {
	d := &desk{wire: &wire{delay: time.Millisecond, peers: make(map[string]*replicaserver.Server)}}
	for _, h := range []struct{ name, region, zone string }{
		{"same", "west", "a"}, {"far", "east", "a"}, {"b1", "west", "b"}, {"b2", "west", "b"},
	} {
		d.hosts = append(d.hosts, &peerpb.HostState{Instance: h.name, PeersAddress: h.name, Region: h.region, Zone: h.zone, Ready: true})
		d.wire.peers[h.name] = replicaserver.New(replicaserver.Config{})
	}
	cfg.Self, cfg.Region, cfg.Zone = "owner", "west", "a"
	cfg.Hosts = func() []*peerpb.HostState {
		for _, h := range d.hosts {
			if b := d.wire.peers[h.GetInstance()]; b != nil {
				h.Backs = b.Owners()
			}
		}
		return d.hosts
	}
	cfg.OldestEpoch = func() uint64 { return 1 }
	cfg.FindLocal = func(*peerpb.RecallRequest) *peerpb.RecallReply { return &peerpb.RecallReply{} }
	cfg.Peers = d.wire
	d.Replicator = replicator.New(cfg)
	return d
}

var (
	key     = deduplicator.Key{Owner: "owner", Epoch: 1, ID: "order"}
	request = deduplicator.Request{Service: "till", Workspace: "school", Method: "POST", Path: "/pay"}
)

func TestOneBackupInAnotherZoneGetsTheOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(replicator.Config{})
		o := &deduplicator.Outcome{Status: 201, Header: http.Header{"X": {"1", "2"}}, Body: []byte("paid"), Trailer: http.Header{"T": {"3"}}, Target: "t", Region: "west"}
		began := time.Now()
		d.Copy(key, request, o)
		is.Equal(time.Since(began), time.Duration(0)) // the answer does not wait
		time.Sleep(time.Second)
		held := 0
		for name, b := range d.wire.peers {
			if len(b.Owners()) > 0 {
				held++
				is.True(name == "b1" || name == "b2")
			}
		}
		is.Equal(held, 1)
		got, err := d.Recall(t.Context(), key, request)
		is.NoErr(err)
		is.Equal(got, o)
		other := request
		other.Workspace = "club"
		_, err = d.Recall(t.Context(), key, other)
		var rf *refusal.Refusal
		is.True(errors.As(err, &rf))
		is.Equal(rf.Code, refusal.CodeIdempotencyReused)
		got, err = d.Recall(t.Context(), deduplicator.Key{Owner: "stranger", Epoch: 1, ID: "order"}, request)
		is.NoErr(err)
		is.True(got == nil)
	})
}

func TestDeadBackupIsReplacedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, dead := range []string{"b1", "b2"} {
			d := newDesk(replicator.Config{})
			d.wire.peers[dead] = nil
			d.Copy(key, request, &deduplicator.Outcome{Status: 200})
			time.Sleep(time.Second)
			is.Equal(d.Stats().Sent, int64(1))
		}
		d := newDesk(replicator.Config{})
		d.hosts = d.hosts[:2] // nobody is in another zone of the region
		d.Copy(key, request, &deduplicator.Outcome{Status: 200})
		time.Sleep(time.Second)
		is.Equal(d.wire.peers["same"].Owners(), []string{"owner"})
		d.hosts = d.hosts[1:] // nor in the region at all
		d.Copy(key, request, &deduplicator.Outcome{Status: 200})
		time.Sleep(time.Second)
		is.Equal(d.Stats(), replicator.Stats{Sent: 1, Lost: 1, SentBytes: d.Stats().SentBytes})
	})
}

func TestSlowBackupHoldsNeitherAnswersNorMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(replicator.Config{AckTimeout: 5 * time.Millisecond, MaxInFlight: 1000})
		d.wire.delay = time.Minute
		began := time.Now()
		d.Copy(key, request, &deduplicator.Outcome{Status: 200, Body: make([]byte, 800)})
		is.Equal(time.Since(began), 5*time.Millisecond)
		d.Copy(key, request, &deduplicator.Outcome{Status: 200, Body: make([]byte, 800)})
		is.Equal(d.Stats().Lost, int64(1)) // there was no room for it
		time.Sleep(time.Hour)
	})
}
