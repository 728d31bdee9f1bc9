package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/reserver"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	targetsender "gypsumbeam.example/gypsumbeam/service/targets"
)

// memoryHost is a handler with a limit on its memory and two targets.
type memoryHost struct {
	*gateway.Handler
	env      *environment
	memory   *reserver.Reserver
	balancer *balancer.Balancer
	// retries is the share of requests that may be retried.
	retries float64
}

func newMemoryHost(limit int64, sender gateway.Sender) *memoryHost {
	env := &environment{}
	d := document()
	d.Limits.MaxBodyBytes = 0
	env.router.Store(router.New(d))
	h := &memoryHost{env: env, retries: 1, memory: reserver.New(limit)}
	h.balancer = balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east"}})
	h.balancer.SetTargets([]registrar.Target{
		{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 20},
		{ID: "two", Service: "a", Address: "10.0.0.2:1", Zone: "e1", Slots: 20},
	})
	h.Handler = gateway.New(gateway.Config{
		Isolator: &isolator.Isolator{}, HeaderCodec: testCodec{}, RouterSource: env, Confirmer: env, Balancer: h.balancer,
		RateLimiter: env, Sender: sender, RetryBudget: &retrier.Budget{}, Watchdog: &env.links, Relayer: &env.hosts, Memory: h.memory,
		MaxConfirmationAge: func() time.Duration { return maxConfirmationAge },
		Outdated:           func() bool { return false },
		RetryRatio:         func() float64 { return h.retries },
	})
	return h
}

// serve serves a request whose body has a given length, which is announced, and reports
// whether the response looks complete.
func (h *memoryHost) serve(w http.ResponseWriter, path string, bodyBytes int64) (complete bool) {
	r := httptest.NewRequest(http.MethodPost, path, io.LimitReader(zeros{}, bodyBytes))
	r.Host, r.ContentLength = "h", bodyBytes
	r.Header = http.Header{"Id": {"id-1"}, "Key": {"k"}, "Timeout": {"60000"}}
	if path == "/pay/" {
		r.Header.Del("Id") // copies of a request are refused
	}
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // it is passed as it is
			panic(v)
		}
	}()
	h.ServeHTTP(w, r)
	return true
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// senderFunc implements gateway.Sender.
type senderFunc func(ctx context.Context, address string, r *http.Request) (*http.Response, bool, error)

func (f senderFunc) Refuses(context.Context, string) bool { return false }
func (f senderFunc) Do(ctx context.Context, address string, r *http.Request) (*http.Response, bool, error) {
	return f(ctx, address, r)
}

// response returns a response with a stamp. A negative length means that it is unknown.
func response(r *http.Request, length int64, body io.Reader) (*http.Response, bool, error) {
	h := http.Header{"Stamp": {"s"}, "Id": {r.Header.Get("Id")}}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(body), ContentLength: length}, true, nil
}

// source is a response body that records how much of it was read, and when it ended.
type source struct {
	io.Reader
	read  atomic.Int64
	ended time.Time
}

func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.read.Add(int64(n))
	if err != nil {
		s.ended = time.Now()
	}
	return n, err
}

// slowCaller waits before each write. It fails after failAfter bytes, unless that is 0.
type slowCaller struct {
	httptest.ResponseRecorder
	pause     time.Duration
	failAfter int
	onWrite   func(written int)
}

func newSlowCaller(pause time.Duration) *slowCaller {
	return &slowCaller{ResponseRecorder: *httptest.NewRecorder(), pause: pause}
}

func (c *slowCaller) Write(p []byte) (int, error) {
	if c.onWrite != nil {
		c.onWrite(c.Body.Len())
	}
	time.Sleep(c.pause)
	if c.failAfter > 0 && c.Body.Len() >= c.failAfter {
		return 0, io.ErrClosedPipe
	}
	return c.ResponseRecorder.Write(p)
}

// A target must be able to finish its response although the caller reads slowly, also before
// the caller has taken the first part. Its slot must be free then.
func TestTargetFinishesThoughCallerIsSlow(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 900<<10/16)
	for name, length := range map[string]int64{"known length": int64(len(text)), "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				body := &source{Reader: strings.NewReader(text)}
				h := newMemoryHost(64<<20, senderFunc(func(_ context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
					return response(r, length, body)
				}))
				start, caller := time.Now(), newSlowCaller(time.Second)
				time.AfterFunc(100*time.Millisecond, func() { is.Equal(len(h.balancer.InFlight()), 0) })
				is.True(h.serve(caller, "/read/", 0))
				is.True(body.ended.Sub(start) < 100*time.Millisecond)
				is.True(time.Since(start) > 10*time.Second)
				is.Equal(caller.Body.String(), text)
				is.Equal(h.memory.Used(), int64(0))
			})
		})
	}
}

// A response is read ahead by 1 MiB at most, with a limit on the host's memory within that,
// and without one not at all. Small parts must not use more memory than they have bytes.
func TestReadAheadIsBounded(t *testing.T) {
	const size, chunk = 3 << 20, 32 << 10
	for _, c := range []struct {
		name            string
		limit, maxAhead int64
		part            int
	}{
		{"ample memory", 64 << 20, 1 << 20, chunk},
		{"small parts", 64 << 20, 1 << 20, 100},
		{"little memory", 256 << 10, 192 << 10, chunk}, // three quarters
		{"hardly any memory", 1, chunk, chunk},
		{"no limit", 0, chunk, chunk},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				body := &source{Reader: &partReader{io.LimitReader(zeros{}, size), c.part}}
				h := newMemoryHost(c.limit, senderFunc(func(_ context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
					return response(r, size, body)
				}))
				caller, most := newSlowCaller(10*time.Millisecond), int64(0)
				caller.onWrite = func(written int) {
					synctest.Wait()
					is.True(h.memory.Used() <= max(c.limit, chunk, c.maxAhead))
					most = max(most, body.read.Load()-int64(written))
				}
				is.True(h.serve(caller, "/read/", 0))
				is.True(most <= c.maxAhead)
				is.True(most > c.maxAhead*9/10)
				is.Equal(caller.Body.Len(), size)
				is.Equal(h.memory.Used(), int64(0))
			})
		})
	}
}

// partReader returns at most size bytes in one read.
type partReader struct {
	io.Reader
	size int
}

func (r *partReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.size)]) }

// While slow callers use up the host's memory, new requests must be refused before they are
// sent, and the admitted ones must complete.
func TestFullHostRefusesAndCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit, size, callers = 1 << 20, 400 << 10, 8
		var sends atomic.Int64
		h := newMemoryHost(limit, senderFunc(func(_ context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
			sends.Add(1)
			time.Sleep(50 * time.Millisecond) // the read-ahead begins once all have arrived
			return response(r, -1, io.LimitReader(zeros{}, size))
		}))
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				caller := newSlowCaller(time.Second)
				is.True(h.serve(caller, "/read/", 64<<10))
				is.Equal(caller.Body.Len(), size)
			})
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(sends.Load(), int64(callers))
		waits := make(map[string]bool)
		for _, path := range []string{"/read/", "/pay/", "/pay/", "/pay/"} {
			refused := newSlowCaller(0)
			is.True(h.serve(refused, path, 128<<10))
			is.Equal(refused.Code, http.StatusServiceUnavailable)
			is.Equal(refused.Body.String(), "noMemory\n")
			waits[refused.Header().Get("Retry-After")] = true
		}
		is.True(len(waits) > 1 && !waits[""]) // callers must not return together
		is.Equal(sends.Load(), int64(callers))
		relayed := call(h.RelayedHandler(), http.MethodPost, "/read/", strings.Repeat("x", 128<<10), gateway.HeaderRelay, "1")
		is.Equal(relayed.Header().Get("Gypsum-Relay-Refused"), "1") // another host may have memory
		wg.Wait()
		is.Equal(h.memory.Used(), int64(0))
		is.True(h.serve(newSlowCaller(0), "/pay/", 100<<10))
		is.Equal(sends.Load(), int64(callers+1))
	})
}

// The bodies in flight at one target must stay within 16 MiB. Another target gets the
// request, without the retry budget; if there is none, it is refused as not run.
func TestTargetGetsBoundedBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		inFlight, most := make(map[string]int64), make(map[string]int64)
		add := func(address string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			inFlight[address] += n
			most[address] = max(most[address], inFlight[address])
		}
		h := newMemoryHost(64<<20, senderFunc(func(_ context.Context, address string, r *http.Request) (*http.Response, bool, error) {
			add(address, r.ContentLength)
			defer add(address, -r.ContentLength)
			time.Sleep(time.Second)
			return response(r, 0, http.NoBody)
		}))
		h.retries = 0
		counts := make(map[string]int)
		post := func(bytes int64) {
			caller := newSlowCaller(0)
			is.True(h.serve(caller, "/pay/", bytes))
			mu.Lock()
			defer mu.Unlock()
			counts[strconv.Itoa(caller.Code)+caller.Body.String()]++
		}
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { post(5 << 20) })
		}
		wg.Wait()
		is.Equal(counts, map[string]int{"200": 6, "503targetFull\n": 4})
		is.Equal(most, map[string]int64{"10.0.0.1:1": 15 << 20, "10.0.0.2:1": 15 << 20})
		is.Equal(len(h.balancer.InFlight()), 0)
		post(20 << 20) // one body is always sent
		is.Equal(counts["200"], 7)
	})
}

// A request of which one send may have run must not be refused as not run because another
// target is full or, for its copy, because the host is.
func TestNoRefusalForLackOfMemoryIfRequestRan(t *testing.T) {
	for _, path := range []string{"/read/", "/pay/"} {
		for _, w := range targetWays() {
			for _, full := range []string{"one", "two"} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					l := &ledger{}
					var send reply
					h := newMemoryHost(64<<20, senderFunc(func(ctx context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
						if r.Header.Get("Target") == full && r.ContentLength > 10<<20 {
							return hang()(ctx, r) // it fills the target
						}
						is.True(r.Header.Get("Target") != full)
						return send(ctx, r)
					}))
					send = l.replies(h.env, []wayOut{w})[0]
					h.balancer.SetTargets([]registrar.Target{{ID: ids.Target(full), Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 20}})
					var filler sync.WaitGroup
					defer filler.Wait()
					filler.Go(func() { h.serve(newSlowCaller(0), "/pay/", 16<<20) })
					synctest.Wait()
					h.balancer.SetTargets([]registrar.Target{
						{ID: ids.Target(full), Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 20},
						{ID: "other", Service: "a", Address: "10.0.0.2:1", Zone: "e1", Slots: 20},
					})
					rec := call(h, http.MethodPost, path, "order")
					is.True(!l.ran || !attestor.PromisesNotRun(rec.Code))
					h.env.links.cutOff.Store(false)
					h.env.age = 0
					h.memory.Overdraw(64 << 20)
					rec = call(h, http.MethodPost, path, "order")
					is.True(path == "/read/" || !l.ran || !attestor.PromisesNotRun(rec.Code))
					h.memory.Release(64 << 20)
				})
			}
		}
	}
}

// When a caller leaves, the connection to the target must close, and all memory must be
// released, whether the target still sends or has stalled.
func TestCallerLeavesDuringReadAhead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\nContent-Length: 9000000\r\n\r\n"
	for name, sent := range map[string]int64{"target stalls": 300 << 10, "read-ahead is full": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // it ends only if all goroutines do
				is := is.New(t)
				var closed atomic.Bool
				sender := targetsender.NewSender(targetsender.SenderConfig{OmitTimeout: true, Dial: func(context.Context, string) (net.Conn, error) {
					return pipeTo(func(c net.Conn) {
						_, _ = c.Read(make([]byte, 4096)) // the head of the request
						_, _ = io.Copy(c, io.MultiReader(strings.NewReader(head), io.LimitReader(zeros{}, sent)))
						_, _ = io.Copy(io.Discard, c) // until the host closes the connection
						closed.Store(true)
					}), nil
				}})
				defer sender.Close()
				h := newMemoryHost(64<<20, sender)
				caller := newSlowCaller(100 * time.Millisecond)
				caller.failAfter = 100 << 10
				is.True(!h.serve(caller, "/read/", 0))
				synctest.Wait()
				is.True(closed.Load())
				is.Equal(h.memory.Used(), int64(0))
				is.Equal(len(h.balancer.InFlight()), 0)
			})
		})
	}
}

// A response that breaks off while it is read ahead must not look complete, also if it has no
// length. Its memory must be released without waiting for a slow caller to take the rest.
func TestResponseBreaksOffDuringReadAhead(t *testing.T) {
	for _, length := range []int64{-1, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newMemoryHost(64<<20, senderFunc(func(_ context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
				return response(r, length, io.MultiReader(io.LimitReader(zeros{}, 500<<10), errReader{}))
			}))
			start := time.Now()
			is.True(!h.serve(newSlowCaller(time.Second), "/read/", 0))
			is.True(time.Since(start) <= 2*time.Second)
			is.Equal(h.memory.Used(), int64(0))
		})
	}
}

// A host without memory for the buffer of a short response must pass the response on whole.
func TestShortResponseWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		text := bytes.Repeat([]byte("0123456789"), 3000)
		for _, free := range []int64{0, 600, 20 << 10} {
			h := newMemoryHost(100<<10, senderFunc(func(_ context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
				return response(r, int64(len(text)), bytes.NewReader(text))
			}))
			h.memory.Overdraw(100<<10 - free)
			caller := newSlowCaller(0)
			is.True(h.serve(caller, "/pay/", 0))
			is.Equal(caller.Header().Get("Content-Length"), strconv.Itoa(len(text)))
			is.True(bytes.Equal(caller.Body.Bytes(), text))
			is.Equal(h.memory.Used(), 100<<10-free)
		}
	})
}
