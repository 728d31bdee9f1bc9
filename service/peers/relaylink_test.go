package peers_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/shaper"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers"
)

const (
	linkRate   = 1 << 20
	linkBody   = 64 << 10
	linkHosts  = 3
	linkServer = linkHosts
)

// echo responds to each relayed request with the request's body.
type echo struct{ runs atomic.Int64 }

// Forward implements peers.Forwarder.
func (e *echo) Forward(_ context.Context, f *callers.Request) (*callers.Response, error) {
	e.runs.Add(1)
	b, err := io.ReadAll(f.Body)
	if err != nil {
		return nil, err
	}
	return &callers.Response{
		Status: http.StatusOK, Outcome: refusal.Ran, ContentLength: int64(len(b)), Body: io.NopCloser(bytes.NewReader(b)),
	}, nil
}

// oneHost is a directory that contains only the serving host.
type oneHost struct{}

// Region implements peers.Directory.
func (oneHost) Region(ids.Region) []peers.Host {
	return []peers.Host{{Instance: "server", PeersAddress: ip(linkServer) + ":1", Weight: 1}}
}

// Instance implements peers.Directory.
func (oneHost) Instance(ids.Instance) (peers.Host, bool) { return peers.Host{}, false }

// linkFleet is a set of hosts that relay to one host of another region.
type linkFleet struct {
	echo         echo
	server       *peers.Server
	responseLink shaper.Shaper
	requestLinks [linkHosts]shaper.Shaper
	pools        [linkHosts]*peers.Pool
}

func startLinkFleet(t *testing.T) *linkFleet {
	t.Helper()
	var n memnet.Network
	f := &linkFleet{}
	f.server = &peers.Server{Relayer: &peers.RelayServer{Forwarder: &f.echo, Link: &f.responseLink}}
	l, err := n.Listen(ip(linkServer) + ":1")
	if err != nil {
		t.Fatal(err)
	}
	f.server.Start(l)
	for i := range f.requestLinks {
		f.requestLinks[i].SetRate(linkRate / linkHosts)
		f.pools[i] = &peers.Pool{Dial: n.Dialer(ip(i))}
	}
	return f
}

func (f *linkFleet) stop() {
	for _, p := range f.pools {
		p.Close()
	}
	f.server.Stop()
}

// send relays one request from host i and returns the length of the response body.
func (f *linkFleet) send(ctx context.Context, i int) (int, error) {
	c := &peers.RelayClient{Pool: f.pools[i], Directory: oneHost{}, Link: &f.requestLinks[i]}
	a, err := c.ToRegion(ctx, "other", &callers.Request{
		Service: "shop", Method: http.MethodPut, Path: "/", ContentLength: linkBody,
		Body: io.NopCloser(bytes.NewReader(make([]byte, linkBody))),
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }() // it was read to its end
	b, err := io.ReadAll(a.Body)
	return len(b), err
}

func TestRelayedBodiesStayUnderLinkRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startLinkFleet(t)
		begun := time.Now()
		var wg sync.WaitGroup
		var ran, full atomic.Int64
		for i := range linkHosts {
			for range 8 {
				wg.Go(func() {
					for time.Since(begun) < 10*time.Second {
						n, err := f.send(t.Context(), i)
						var rf *refusal.Refusal
						switch {
						case err == nil && n == linkBody:
							ran.Add(1)
						case errors.As(err, &rf) && rf.Code == refusal.CodeLinkFull && rf.Outcome == refusal.NotRun:
							full.Add(1)
							time.Sleep(rf.RetryAfter)
						default:
							t.Errorf("relay: %d bytes, %v", n, err)
							return
						}
					}
				})
			}
		}
		wg.Wait()
		elapsed := time.Since(begun).Seconds()
		f.stop()
		var sent int64
		for i := range f.requestLinks {
			sent += f.requestLinks[i].TotalBytes()
		}
		is.Equal(f.echo.runs.Load(), ran.Load()) // what was refused did not run
		is.True(full.Load() > 0)
		is.Equal(sent, ran.Load()*linkBody)                        // all bodies are counted
		is.Equal(f.responseLink.TotalBytes(), ran.Load()*linkBody) // in both directions
		is.True(float64(sent) <= linkRate*(elapsed+0.02))          // the rate and a burst of 20 ms
		is.True(float64(sent) > 0.8*linkRate*elapsed)              // and the link is used
	})
}
