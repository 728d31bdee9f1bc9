package gossiper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/gossiper"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const hostCount = 9

// cluster is a number of Gossipers on a network that loses messages.
type cluster struct {
	t         *testing.T
	mu        sync.Mutex
	rng       *rand.Rand
	gossipers []*gossiper.Gossiper
	states    []*peerpb.HostState
	lossRate  float64
	// published holds each state as its host published it, without its age.
	published map[string]*peerpb.HostState
	// messages counts the replies, bytes the size of requests and replies.
	messages, bytes int
}

func newCluster(t *testing.T, rng *rand.Rand) *cluster {
	c := &cluster{t: t, rng: rng, published: make(map[string]*peerpb.HostState)}
	for i := range hostCount {
		c.states = append(c.states, &peerpb.HostState{
			Instance: fmt.Sprint("host", i),
			Targets:  []*peerpb.TargetReport{{Target: "b"}, {Target: "a"}},
			Services: []*peerpb.ServiceReport{{Service: "s", Slots: 40}},
		})
		c.gossipers = append(c.gossipers, gossiper.New(gossiper.Config{
			Self:  func() *peerpb.HostState { return c.self(i) },
			Peers: func() []string { return c.others(i) },
			Call:  c.call,
		}))
	}
	return c
}

func (c *cluster) self(i int) *peerpb.HostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return proto.CloneOf(c.states[i])
}

func (c *cluster) others(i int) []string {
	var all []string
	for j := range hostCount {
		if j != i {
			all = append(all, fmt.Sprint(j))
		}
	}
	return all
}

// call delivers a copy of a request and of its reply, and loses some of each.
func (c *cluster) call(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	c.mu.Lock()
	lost, answerLost := c.rng.Float64() < c.lossRate, c.rng.Float64() < c.lossRate
	pause := time.Duration(c.rng.IntN(60)) * time.Millisecond
	c.mu.Unlock()
	time.Sleep(pause)
	if lost {
		return nil, errs.New("request lost")
	}
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return nil, err
	}
	reply, err := c.gossipers[i].Exchange(ctx, proto.CloneOf(r))
	time.Sleep(pause)
	c.mu.Lock()
	c.messages++
	c.bytes += proto.Size(reply) + proto.Size(r)
	c.mu.Unlock()
	if err != nil || answerLost {
		return nil, errs.New("reply lost: %v", err)
	}
	return proto.CloneOf(reply), nil
}

// change changes one random part of one host's state in every fifth call on
// average.
func (c *cluster) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng.IntN(5) != 0 {
		return
	}
	s := c.states[c.rng.IntN(hostCount)]
	switch c.rng.IntN(5) {
	case 0:
		s.Ready = !s.Ready
	case 1:
		s.Targets[c.rng.IntN(len(s.Targets))].Load = c.rng.Uint32N(9)
	case 2:
		s.Services[0].InFlight = c.rng.Uint32N(40)
	case 3:
		s.Workspaces = append(s.Workspaces, &peerpb.WorkspaceReport{Workspace: fmt.Sprint("w", c.rng.IntN(1000)), Tokens: 5})
	case 4:
		if len(s.Workspaces) > 0 {
			s.Workspaces = s.Workspaces[1:]
		}
	}
}

// check asserts that every state known to a host equals the one that its host
// published with that seq.
func (c *cluster) check() {
	for i, g := range c.gossipers {
		for _, s := range g.Hosts() {
			if s.GetInstance() == fmt.Sprint("host", i) {
				c.published[fmt.Sprint(s.GetInstance(), "/", s.GetSeq())] = proto.CloneOf(s)
			}
		}
	}
	for i, g := range c.gossipers {
		for _, s := range g.Hosts() {
			want := c.published[fmt.Sprint(s.GetInstance(), "/", s.GetSeq())]
			if want == nil {
				c.t.Fatalf("host%d knows %s at seq %d, which was never published", i, s.GetInstance(), s.GetSeq())
			}
			known := proto.CloneOf(s)
			known.AgeMs = 0
			if !proto.Equal(known, want) {
				c.t.Fatalf("host%d knows\n%v\nbut published was\n%v", i, known, want)
			}
		}
	}
}

// run checks the states every 20 ms for the given time, and changes states if
// changing is set.
func (c *cluster) run(length time.Duration, changing bool) {
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		time.Sleep(step)
		synctest.Wait()
		c.check()
		if changing {
			c.change()
		}
	}
}

func TestRandomisedStatesArriveAsPublished(t *testing.T) {
	rng := seeds.NewRand(t)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, rng)
		c.lossRate = 0.3
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range c.gossipers {
			go g.Run(ctx)
		}
		c.run(seeds.VirtualDuration(8*time.Second), true)
		c.mu.Lock()
		c.lossRate = 0
		c.mu.Unlock()
		c.run(gossiper.DefaultExpiry, false)
		for i, g := range c.gossipers {
			if n := len(g.Hosts()); n != hostCount {
				t.Errorf("host%d knows %d hosts", i, n)
			}
		}
		cancel()
		for _, g := range c.gossipers {
			<-g.Done()
		}
	})
}

func TestUnchangedStatesCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, rand.New(rand.NewPCG(1, 1)))
		for _, s := range c.states {
			for n := range 100 {
				s.Workspaces = append(s.Workspaces, &peerpb.WorkspaceReport{Workspace: fmt.Sprint("workspace", n), Tokens: 5})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, g := range c.gossipers {
			go g.Run(ctx)
		}
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		c.messages, c.bytes = 0, 0
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		cancel()
		for _, g := range c.gossipers {
			<-g.Done()
		}
		// Sending all states in full both ways would take about this many bytes.
		fullSize := 2 * hostCount * proto.Size(c.states[0])
		if each := c.bytes / c.messages; each > fullSize/20 {
			t.Errorf("an exchange without changes takes %d bytes; sending all states in full would take %d", each, fullSize)
		}
	})
}
