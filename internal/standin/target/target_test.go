package target_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
)

const address = "10.1.0.1:80"

// start serves s and returns a client, and a function that ends both.
func start(t *testing.T, n *memnet.Network, s *target.Target) (*http.Client, func()) {
	t.Helper()
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	s.Start(l)
	dial := n.Dialer("10.0.0.1")
	tr := &http.Transport{DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return dial(ctx, a) }}
	return &http.Client{Transport: tr}, func() {
		tr.CloseIdleConnections()
		s.Crash()
	}
}

func post(c *http.Client, key string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/pay", strings.NewReader("twenty bytes of body"))
	if err != nil {
		return nil, err
	}
	r.Header.Set(target.HeaderIdempotencyKey, key)
	r.Header.Set(target.HeaderRequestID, key)
	return c.Do(r)
}

func TestStagesOfFailure(t *testing.T) {
	for _, tc := range []struct {
		stage target.Stage
		ran   int
		head  bool
		whole bool
	}{
		{target.StageNone, 1, true, true},
		{target.StageBeforeReading, 0, false, false},
		{target.StageMidBody, 0, false, false},
		{target.StageBeforeResponse, 1, false, false},
		{target.StageMidResponse, 1, true, false},
		{target.StageAfterResponse, 1, true, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := target.New(target.Config{Name: "a", Slots: 1})
			s.SetBehaviour(func(b *target.Behaviour) { b.FailAt, b.FailCount = tc.stage, 1 })
			c, stop := start(t, &memnet.Network{}, s)
			defer stop()
			resp, err := post(c, "k")
			is.Equal(err == nil, tc.head) // a response header arrived
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()          // the body was read
				is.Equal(err == nil, tc.whole) // the body is complete
			}
			is.Equal(s.Stats().RunsByKey["k"], tc.ran)
			time.Sleep(time.Second)
			is.Equal(s.Stats().Busy, 0) // the slot is free again
		})
	}
}

func TestDrainCountsLateRequestsAndLoadEndpointLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := target.New(target.Config{Name: "a", Slots: 1, Secrets: []string{"hush"}})
		c, stop := start(t, &memnet.Network{}, s)
		defer stop()
		s.SetBehaviour(func(b *target.Behaviour) { b.Load.Lag = time.Second })
		s.Drain()
		time.Sleep(100 * time.Millisecond)
		is.Equal(load(t, c).Leaving, false) // the load endpoint lags
		time.Sleep(time.Second)
		is.Equal(load(t, c).Leaving, true)
		resp, err := post(c, "hush")
		is.NoErr(err)
		_ = resp.Body.Close() // the body is not needed
		is.Equal(resp.Header.Get(target.HeaderLeaving), "1")
		is.Equal(len(s.Stats().Late), 1)
		is.Equal(s.Stats().SecretsSeen, 1)
	})
}

func TestOverSlotsAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := target.New(target.Config{Name: "a", Slots: 1})
		c, stop := start(t, &memnet.Network{}, s)
		defer stop()
		done := make(chan error, 2)
		for _, key := range []string{"x", "y"} {
			go func() {
				resp, err := post(c, key)
				if err == nil {
					err = resp.Body.Close()
				}
				done <- err
			}()
		}
		is.NoErr(<-done)
		is.NoErr(<-done)
		is.Equal(s.Stats().OverSlots, 1)
		before := s.StartID()
		s.Crash()
		_, err := post(c, "z")
		is.True(err != nil) // a crashed target does not respond
		s.Restart()
		is.True(s.StartID() != before)
	})
}

func load(t *testing.T, c *http.Client) target.LoadResponse {
	t.Helper()
	resp, err := c.Get("http://" + address + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a target.LoadResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return a
}
