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

// world is a fleet of exchangers whose messages get lost.
type world struct {
	t    *testing.T
	mu   sync.Mutex
	rng  *rand.Rand
	all  []*gossiper.Gossiper
	now  []*peerpb.HostState
	loss float64
	// told holds each state as its host told it, without its age.
	told map[string]*peerpb.HostState
	// messages and bytes count the replies.
	messages, bytes int
}

func newWorld(t *testing.T, rng *rand.Rand) *world {
	w := &world{t: t, rng: rng, told: make(map[string]*peerpb.HostState)}
	for i := range hostCount {
		w.now = append(w.now, &peerpb.HostState{
			Instance: fmt.Sprint("host", i),
			Targets:  []*peerpb.TargetReport{{Target: "b"}, {Target: "a"}},
			Services: []*peerpb.ServiceReport{{Service: "s", Slots: 40}},
		})
		w.all = append(w.all, gossiper.New(gossiper.Config{
			Self:  func() *peerpb.HostState { return w.self(i) },
			Peers: func() []string { return w.others(i) },
			Call:  w.call,
		}))
	}
	return w
}

func (w *world) self(i int) *peerpb.HostState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return proto.CloneOf(w.now[i])
}

func (w *world) others(i int) []string {
	var all []string
	for j := range hostCount {
		if j != i {
			all = append(all, fmt.Sprint(j))
		}
	}
	return all
}

// call carries a message as the wire does, and loses some of each direction.
func (w *world) call(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	w.mu.Lock()
	lost, answerLost := w.rng.Float64() < w.loss, w.rng.Float64() < w.loss
	pause := time.Duration(w.rng.IntN(60)) * time.Millisecond
	w.mu.Unlock()
	time.Sleep(pause)
	if lost {
		return nil, errs.New("lost")
	}
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return nil, err
	}
	reply, err := w.all[i].Exchange(ctx, proto.CloneOf(r))
	time.Sleep(pause)
	w.mu.Lock()
	w.messages++
	w.bytes += proto.Size(reply) + proto.Size(r)
	w.mu.Unlock()
	if err != nil || answerLost {
		return nil, errs.New("answer lost: %v", err)
	}
	return proto.CloneOf(reply), nil
}

// change changes something of one host's state now and then.
func (w *world) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rng.IntN(5) != 0 {
		return
	}
	s := w.now[w.rng.IntN(hostCount)]
	switch w.rng.IntN(5) {
	case 0:
		s.Ready = !s.Ready
	case 1:
		s.Targets[w.rng.IntN(len(s.Targets))].Load = w.rng.Uint32N(9)
	case 2:
		s.Services[0].InFlight = w.rng.Uint32N(40)
	case 3:
		s.Workspaces = append(s.Workspaces, &peerpb.WorkspaceReport{Workspace: fmt.Sprint("w", w.rng.IntN(1000)), Tokens: 5})
	case 4:
		if len(s.Workspaces) > 0 {
			s.Workspaces = s.Workspaces[1:]
		}
	}
}

// check asserts that each state known anywhere is one that its host told with
// that seq, whole.
func (w *world) check() {
	for i, x := range w.all {
		for _, s := range x.Hosts() {
			if s.GetInstance() == fmt.Sprint("host", i) {
				w.told[fmt.Sprint(s.GetInstance(), "/", s.GetSeq())] = proto.CloneOf(s)
			}
		}
	}
	for i, x := range w.all {
		for _, s := range x.Hosts() {
			told := w.told[fmt.Sprint(s.GetInstance(), "/", s.GetSeq())]
			if told == nil {
				w.t.Fatalf("host%d knows %s at seq %d, which was never told", i, s.GetInstance(), s.GetSeq())
			}
			known := proto.CloneOf(s)
			known.AgeMs = 0
			if !proto.Equal(known, told) {
				w.t.Fatalf("host%d knows\n%v\nbut it told\n%v", i, known, told)
			}
		}
	}
}

// run lets time pass, with checks all the time.
func (w *world) run(length time.Duration, changing bool) {
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		time.Sleep(step)
		synctest.Wait()
		w.check()
		if changing {
			w.change()
		}
	}
}

func TestRandomisedStatesArriveAsTheyWereTold(t *testing.T) {
	rng := seeds.Source(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, rng)
		w.loss = 0.3
		ctx, cancel := context.WithCancel(t.Context())
		for _, x := range w.all {
			go x.Run(ctx)
		}
		w.run(seeds.Length(8*time.Second), true)
		w.mu.Lock()
		w.loss = 0
		w.mu.Unlock()
		w.run(gossiper.DefaultExpiry, false)
		for i, x := range w.all {
			if n := len(x.Hosts()); n != hostCount {
				t.Errorf("host%d knows %d hosts", i, n)
			}
		}
		cancel()
		for _, x := range w.all {
			<-x.Done()
		}
	})
}

func TestStatesThatDoNotChangeCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		for _, s := range w.now {
			for n := range 100 {
				s.Workspaces = append(s.Workspaces, &peerpb.WorkspaceReport{Workspace: fmt.Sprint("workspace", n), Tokens: 5})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, x := range w.all {
			go x.Run(ctx)
		}
		time.Sleep(5 * time.Second)
		w.mu.Lock()
		w.messages, w.bytes = 0, 0
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		cancel()
		for _, x := range w.all {
			<-x.Done()
		}
		// A whole exchange of all states would be more than all hosts' size twice.
		whole := 2 * hostCount * proto.Size(w.now[0])
		if each := w.bytes / w.messages; each > whole/20 {
			t.Errorf("one exchange at rest takes %d bytes; all states take %d", each, whole)
		}
	})
}
