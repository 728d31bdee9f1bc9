// Package entryhost assembles an entry host from its components. gypsumd runs one
// Host; the tests and the demo run many in one process.
//
// A caller creates a Host with New, calls Start, and ends it with Stop, or with
// Kill to simulate a crash.
package entryhost

import (
	"context"
	"net"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Defaults of the zero fields of a Config.
const (
	DefaultDrainLimit = 30 * time.Second
	DefaultNoticeTime = config.DefaultLookupTTL + 2*time.Second
)

// Config holds the settings of an entry host. The addresses, Region, Zone and
// StoreURL are required.
type Config struct {
	// Instance names this process; if empty, a new name is generated.
	Instance ids.Instance
	// Region and Zone are the host's location.
	Region ids.Region
	Zone   ids.Zone
	// CallersAddress, PeersAddress and OperatorsAddress are the advertised IP
	// addresses and ports of the host's listeners.
	CallersAddress   string
	PeersAddress     string
	OperatorsAddress string
	// StoreURL is the base URL of the platform's service.
	StoreURL string
	// Seeds lists the peer addresses of hosts to contact while no other host is
	// known, for example if the store is down at startup.
	Seeds []string
	// DrainLimit bounds the duration of Stop, including NoticeTime.
	DrainLimit time.Duration
	// NoticeTime is how long a draining host still accepts requests, for callers
	// whose look-up responses still name it.
	NoticeTime time.Duration
	// ReplicaAckTimeout is how long an at-most-once request waits until a replica
	// of its outcome is stored; with zero it does not wait.
	ReplicaAckTimeout time.Duration
	// Listen opens a listener; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Checker asserts invariants over all hosts of the process; it may be nil.
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
