package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

const address = "10.0.0.1:7000"

// withClient runs check with a Client of a store that is served over HTTP.
func withClient(t *testing.T, check func(is *is.I, s *store.Store, c *platform.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &memnet.Network{}
		l, err := n.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		s := &store.Store{}
		server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Second}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(l)
		}()
		c := platform.New(platform.Config{BaseURL: "http://" + address, Dial: n.Dialer("10.0.0.2")})
		check(is.New(t), s, c)
		c.Close()
		_ = server.Close()
		time.Sleep(time.Second) // the server lingers on connections that it closes
		<-served
	})
}

func TestKeysOverHTTP(t *testing.T) {
	withClient(t, func(is *is.I, s *store.Store, c *platform.Client) {
		ctx := context.Background()
		e, err := c.Get(ctx, "config/head")
		is.NoErr(err)
		is.Equal(e.Version, platform.Version(0)) // an absent key is no error
		big := bytes.Repeat([]byte("x"), store.MaxValueBytes)
		v, err := c.CompareAndSwap(ctx, "config/head", 0, big)
		is.NoErr(err)
		is.Equal(v, platform.Version(1))
		for range 2 { // the second response has status 304
			e, err = c.Get(ctx, "config/head")
			is.NoErr(err)
			is.True(bytes.Equal(e.Value, big))
		}
		_, err = c.CompareAndSwap(ctx, "config/head", 0, big)
		var conflict *platform.ErrConflict
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Current, platform.Version(1))
		_, err = c.CompareAndSwap(ctx, "config/head", 1, append(big, 'x'))
		is.True(err != nil) // over a megabyte
		is.Equal(s.Counts().Swaps, int64(2))
	})
}

func TestWatchSpansSeveralPolls(t *testing.T) {
	withClient(t, func(is *is.I, s *store.Store, c *platform.Client) {
		ctx := context.Background()
		got := make(chan platform.Entry)
		go func() {
			e, err := c.Watch(ctx, "k", 0)
			is.NoErr(err)
			got <- e
		}()
		time.Sleep(150 * time.Second)
		_, err := s.CompareAndSwap(ctx, "k", 0, []byte("v"))
		is.NoErr(err)
		is.Equal(string((<-got).Value), "v")
		is.Equal(s.Counts().Watches, int64(3))
	})
}

func TestLeasesOverHTTP(t *testing.T) {
	withClient(t, func(is *is.I, s *store.Store, c *platform.Client) {
		ctx := context.Background()
		id, err := c.Grant(ctx, 6*time.Second)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		is.NoErr(c.KeepAlive(ctx, id))
		time.Sleep(5 * time.Second)
		expired, err := c.Expired(ctx, id)
		is.NoErr(err)
		is.True(!expired)
		time.Sleep(time.Second)
		expired, err = c.Expired(ctx, id)
		is.NoErr(err)
		is.True(expired)
		var gone *platform.ErrLeaseExpired
		is.True(errors.As(c.KeepAlive(ctx, id), &gone))
	})
}

func TestResponseLostAfterWrite(t *testing.T) {
	withClient(t, func(is *is.I, s *store.Store, c *platform.Client) {
		ctx := context.Background()
		s.LoseResponses(1)
		_, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"))
		var conflict *platform.ErrConflict
		is.True(err != nil && !errors.As(err, &conflict)) // an error of no known type: the effect is unknown
		e, err := c.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(e.Value), "v")       // but the write took effect
		is.Equal(s.Counts().Swaps, int64(1)) // and was not repeated
		s.SetDown(true)
		_, err = c.Get(ctx, "k")
		is.True(err != nil)
	})
}
