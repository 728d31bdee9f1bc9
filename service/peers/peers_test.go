package peers_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/pkg/gossiper"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// gossipHost is a host that runs nothing but gossip.
type gossipHost struct {
	gossiper *gossiper.Gossiper
	pool     *peers.Pool
	server   *peers.Server
}

func startGossipHost(t *testing.T, n *memnet.Network, i, total int) *gossipHost {
	t.Helper()
	m := &gossipHost{pool: &peers.Pool{Dial: n.Dialer(ip(i))}}
	m.gossiper = gossiper.New(gossiper.Config{
		Self:  func() *peerpb.HostState { return &peerpb.HostState{Instance: ip(i)} },
		Peers: func() []string { return others(i, total) },
		Call: func(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
			c, err := m.pool.Peer(address)
			if err != nil {
				return nil, err
			}
			return c.Exchange(ctx, r)
		},
	})
	l, err := n.Listen(ip(i) + ":1")
	if err != nil {
		t.Fatal(err)
	}
	m.server = &peers.Server{Gossiper: m.gossiper}
	m.server.Start(l)
	return m
}

func ip(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func others(i, total int) []string {
	var all []string
	for j := range total {
		if j != i {
			all = append(all, ip(j)+":1")
		}
	}
	return all
}

func TestGossipReachesAllHostsAndForgetsFrozenOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 11
		n := &memnet.Network{Delay: func(string, string) time.Duration { return 5 * time.Millisecond }}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*gossipHost
		for i := range hosts {
			m := startGossipHost(t, n, i, hosts)
			all = append(all, m)
			go m.gossiper.Run(ctx)
		}
		time.Sleep(5 * time.Second)
		for _, m := range all {
			is.Equal(len(m.gossiper.Hosts()), hosts) // every host knows every host
		}
		n.SetFrozen(ip(3), true)
		time.Sleep(5 * time.Second)
		is.Equal(len(all[0].gossiper.Hosts()), hosts-1) // a frozen host is forgotten
		n.SetFrozen(ip(3), false)
		time.Sleep(2 * time.Second)
		is.Equal(len(all[0].gossiper.Hosts()), hosts) // a resumed host is known again
		cancel()
		for _, m := range all {
			<-m.gossiper.Done()
			m.pool.Close()
			m.server.Stop()
		}
	})
}
