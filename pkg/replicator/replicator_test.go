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

// fakePeers is a PeerClient whose Copy takes effect after a delay.
type fakePeers struct {
	delay   time.Duration
	servers map[string]*replicaserver.Server
}

var errUnreachable = errors.New("host unreachable")

func (p *fakePeers) Copy(ctx context.Context, address string, r *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	time.Sleep(p.delay)
	if p.servers[address] == nil {
		return nil, errUnreachable
	}
	return p.servers[address].Copy(ctx, r)
}

func (p *fakePeers) Recall(ctx context.Context, address string, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	if p.servers[address] == nil {
		return nil, errUnreachable
	}
	return p.servers[address].Recall(ctx, r)
}

// testFleet is a Replicator in zone a of the region west, and other hosts in the
// same zone, in another region, and in another zone.
type testFleet struct {
	*replicator.Replicator
	peers *fakePeers
	hosts []*peerpb.HostState
}

func newTestFleet(cfg replicator.Config) *testFleet {
	f := &testFleet{peers: &fakePeers{delay: time.Millisecond, servers: make(map[string]*replicaserver.Server)}}
	for _, h := range []struct{ name, region, zone string }{
		{"same", "west", "a"}, {"far", "east", "a"}, {"b1", "west", "b"}, {"b2", "west", "b"},
	} {
		f.hosts = append(f.hosts, &peerpb.HostState{Instance: h.name, PeersAddress: h.name, Region: h.region, Zone: h.zone, Ready: true})
		f.peers.servers[h.name] = replicaserver.New(replicaserver.Config{})
	}
	cfg.Self, cfg.Region, cfg.Zone = "owner", "west", "a"
	cfg.Hosts = func() []*peerpb.HostState {
		for _, h := range f.hosts {
			if b := f.peers.servers[h.GetInstance()]; b != nil {
				h.Backs = b.Owners()
			}
		}
		return f.hosts
	}
	cfg.OldestEpoch = func() uint64 { return 1 }
	cfg.FindLocal = func(*peerpb.RecallRequest) *peerpb.RecallReply { return &peerpb.RecallReply{} }
	cfg.Peers = f.peers
	f.Replicator = replicator.New(cfg)
	return f
}

var (
	key     = deduplicator.Key{Owner: "owner", Epoch: 1, ID: "order"}
	request = deduplicator.Request{Service: "till", Workspace: "school", Method: "POST", Path: "/pay"}
)

func TestOutcomeIsReplicatedToOneOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(replicator.Config{})
		o := &deduplicator.Outcome{Status: 201, Header: http.Header{"X": {"1", "2"}}, Body: []byte("paid"), Trailer: http.Header{"T": {"3"}}, Target: "t", Region: "west"}
		began := time.Now()
		f.Copy(key, request, o)
		is.Equal(time.Since(began), time.Duration(0)) // Copy does not wait for the replica
		time.Sleep(time.Second)
		held := 0
		for name, b := range f.peers.servers {
			if len(b.Owners()) > 0 {
				held++
				is.True(name == "b1" || name == "b2")
			}
		}
		is.Equal(held, 1)
		got, err := f.Recall(t.Context(), key, request)
		is.NoErr(err)
		is.Equal(got, o)
		other := request
		other.Workspace = "club"
		_, err = f.Recall(t.Context(), key, other)
		var rf *refusal.Refusal
		is.True(errors.As(err, &rf))
		is.Equal(rf.Code, refusal.CodeIdempotencyKeyReused)
		got, err = f.Recall(t.Context(), deduplicator.Key{Owner: "stranger", Epoch: 1, ID: "order"}, request)
		is.NoErr(err)
		is.True(got == nil)
	})
}

func TestUnreachableHostIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, unreachable := range []string{"b1", "b2"} {
			f := newTestFleet(replicator.Config{})
			f.peers.servers[unreachable] = nil
			f.Copy(key, request, &deduplicator.Outcome{Status: 200})
			time.Sleep(time.Second)
			is.Equal(f.Stats().Sent, int64(1))
		}
		f := newTestFleet(replicator.Config{})
		f.hosts = f.hosts[:2] // no host is in another zone of the region
		f.Copy(key, request, &deduplicator.Outcome{Status: 200})
		time.Sleep(time.Second)
		is.Equal(f.peers.servers["same"].Owners(), []string{"owner"})
		f.hosts = f.hosts[1:] // no other host is in the region
		f.Copy(key, request, &deduplicator.Outcome{Status: 200})
		time.Sleep(time.Second)
		is.Equal(f.Stats(), replicator.Stats{Sent: 1, Lost: 1, SentBytes: f.Stats().SentBytes})
	})
}

func TestSlowReplicaBlocksNoResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(replicator.Config{AckTimeout: 5 * time.Millisecond, MaxInFlight: 1000})
		f.peers.delay = time.Minute
		began := time.Now()
		f.Copy(key, request, &deduplicator.Outcome{Status: 200, Body: make([]byte, 800)})
		is.Equal(time.Since(began), 5*time.Millisecond)
		f.Copy(key, request, &deduplicator.Outcome{Status: 200, Body: make([]byte, 800)})
		is.Equal(f.Stats().Lost, int64(1)) // it exceeded MaxInFlight
		time.Sleep(time.Hour)
	})
}
