package pipeliner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/pipelinecaller"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

const (
	// randomisedStops is the number of servers that a run stops, each with randomisedCallers.
	randomisedStops   = 50
	randomisedCallers = 12
	// serverAddress is the address of the server.
	serverAddress = "10.0.0.1:80"
	// maxWork bounds the time that the handler takes before the response, and within it.
	maxWork = 300 * time.Millisecond
	// maxDue is how many requests of a caller are due at most, and maxClosing how long their
	// responses take one after the other.
	maxDue     = 4
	maxClosing = maxDue * 2 * maxWork
)

// stopped is a server that stops while callers send requests on their connections, several at a
// time.
type stopped struct {
	network memnet.Network
	server  *pipeliner.Server
	callers sync.WaitGroup

	mu sync.Mutex
	// ran holds the requests that reached the handler, and answered those whose callers got a
	// complete response.
	ran, answered map[string]bool
	// closedAt is when the last connection was told to close.
	closedAt time.Time
	faults   []string
}

// Guards against requests that have begun and get no response, as an earlier one closes their
// connection, and against connections that are never told to close.
func TestRandomisedStopLosesNothing(t *testing.T) {
	rnd := seeds.NewRand(t)
	for range randomisedStops {
		seed := rnd.Uint64()
		synctest.Test(t, func(t *testing.T) {
			s := &stopped{ran: make(map[string]bool), answered: make(map[string]bool)}
			s.run(t, rand.New(rand.NewPCG(seed, seed)))
			s.judge(t, seed)
		})
	}
}

// run lets callers send requests, and stops the server.
func (s *stopped) run(t *testing.T, rnd *rand.Rand) {
	s.network.Delay = func(string, string) time.Duration { return 500 * time.Microsecond }
	l, err := s.network.Listen(serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	s.server = pipeliner.New(pipeliner.Config{Handler: s.handler(rnd.Uint64())})
	go s.server.Serve(l)
	for i := range randomisedCallers {
		c, err := s.network.Dialer(fmt.Sprintf("10.1.0.%d", i))(t.Context(), serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		random := rand.New(rand.NewPCG(rnd.Uint64(), uint64(i)))
		s.callers.Go(func() { s.call(c, i, random) })
	}
	time.Sleep(duration(rnd, maxWork))
	s.server.DisableKeepAlives()
	time.Sleep(duration(rnd, maxWork))
	s.server.DisablePipelining()
	disabled := time.Now()
	s.callers.Wait()
	if took := s.closedAt.Sub(disabled); took > maxClosing {
		s.faults = append(s.faults, fmt.Sprintf("a connection was told to close %v after pipelining was disabled", took))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := s.server.Drain(ctx); err != nil {
		t.Error(err)
	}
	s.server.Close()
	time.Sleep(time.Minute) // for what still waits
}

// handler returns a handler whose requests take a random time. Some responses are long.
func (s *stopped) handler(seed uint64) http.Handler {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.ran[r.URL.Path] = true
		s.mu.Unlock()
		mu.Lock()
		work, writing := duration(random, maxWork), duration(random, maxWork)*time.Duration(random.IntN(2))
		mu.Unlock()
		time.Sleep(work)
		_, _ = io.Copy(io.Discard, r.Body) // a failure shows in the response
		_, _ = io.WriteString(w, r.URL.Path)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(writing)
		_, _ = io.WriteString(w, " end") // a failure shows in the response
	})
}

// call sends requests, some at a time, until a response closes the connection.
func (s *stopped) call(c net.Conn, caller int, random *rand.Rand) {
	pause := duration(random, 50*time.Millisecond)
	n := 0
	pc := pipelinecaller.Caller{
		Conn: c, Depth: 1 + random.IntN(maxDue), End: s.end,
		Next: func() (pipelinecaller.Request, bool) {
			n++
			path := fmt.Sprintf("/%d-%d", caller, n)
			return pipelinecaller.Request{ID: path, Text: randomRequest(path, random), Pause: pause}, true
		},
	}
	pc.Run()
}

// end takes in the response to a request.
func (s *stopped) end(path string, resp *pipelinecaller.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, pipelinecaller.ErrNotRead):
	case err != nil:
		s.faults = append(s.faults, fmt.Sprintf("no response to %s: %v", path, err))
	case strings.TrimSuffix(string(resp.Body), " end") != path:
		s.faults = append(s.faults, fmt.Sprintf("response to %s: %q", path, resp.Body))
	default:
		s.answered[path] = true
		if resp.Closes {
			s.closedAt = time.Now()
		}
	}
}

// duration returns a random duration below bound.
func duration(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}

// randomRequest returns a request that may run early, or not.
func randomRequest(path string, random *rand.Rand) string {
	if random.IntN(4) > 0 {
		return get(path)
	}
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
}

func (s *stopped) addFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// judge compares what ran with what was answered.
func (s *stopped) judge(t *testing.T, seed uint64) {
	for path := range s.ran {
		if !s.answered[path] {
			s.addFault("%s ran and was not answered", path)
		}
	}
	if s.server.Cut() != 0 {
		s.addFault("%d responses cut", s.server.Cut())
	}
	for _, f := range s.faults {
		t.Errorf("seed %d: %s", seed, f)
	}
}
