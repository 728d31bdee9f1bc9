// Package entryhost wires the parts of one entry host together. It is the
// library behind gypsumd, and runs as well inside tests and the demo, many
// hosts in one process.
package entryhost

import (
	"context"
	"net"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The defaults of a Config's zero fields.
const (
	DefaultDrainLimit = 30 * time.Second
	DefaultNoticeTime = config.DefaultLookupTTL + 2*time.Second
)

// Config holds the settings of an entry host. The addresses, Region, Zone and
// StoreURL are required.
type Config struct {
	// Instance names this run; empty makes a new name.
	Instance ids.Instance
	// Region and Zone are where the host is.
	Region ids.Region
	Zone   ids.Zone
	// The IP numbers and ports at which the host listens, as others reach them.
	CallersAddress   string
	PeersAddress     string
	OperatorsAddress string
	// StoreURL is the platform's service.
	StoreURL string
	// Seeds are peers' addresses of other hosts, asked when the store is down.
	Seeds []string
	// DrainLimit bounds a graceful stop, notice included.
	DrainLimit time.Duration
	// NoticeTime is how long a leaving host still serves callers whose look-up
	// names it.
	NoticeTime time.Duration
	// CopyWait is how long a request that runs at most once waits for the copy
	// of its outcome; zero answers while the copy is on its way.
	ReplicaAckTimeout time.Duration
	// Listen opens a listener; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Checker asserts invariants over all hosts of the process; nil means off.
	Checker *checker.Checker
}

func (c *Config) withDefaults() Config {
	cfg := *c
	if cfg.Instance == "" {
		cfg.Instance = ids.NewInstance()
	}
	if cfg.DrainLimit == 0 {
		cfg.DrainLimit = DefaultDrainLimit
	}
	if cfg.NoticeTime == 0 {
		cfg.NoticeTime = DefaultNoticeTime
	}
	if cfg.Listen == nil {
		cfg.Listen = listenTCP
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return cfg
}

func listenTCP(address string) (net.Listener, error) {
	var l net.ListenConfig
	return l.Listen(context.Background(), "tcp", address)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
