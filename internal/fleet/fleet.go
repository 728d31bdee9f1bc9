// Package fleet runs a whole fleet in one process: a stand-in store, stand-in
// targets and real entry hosts. It serves tests on the virtual clock, over an
// in-memory network, and the demo, over loopback addresses.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/entryhost"
)

// The ports of the fleet's processes.
const (
	storePort     = 7000
	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 9090
	targetPort    = 9000
)

// DefaultNetwork is the Network of a Config that gives none.
const DefaultNetworkNumber = 10

// keyBytes is the number of random bytes in a workspace's key.
const keyBytes = 32

// Config describes a fleet.
type Config struct {
	// Document is the configuration; upstreams' addresses and workspaces' keys
	// are filled in.
	Document *config.Document
	// HostsPerRegion is the number of entry hosts by region, in the document's
	// order; nil takes the region's seats.
	HostsPerRegion []int
	// ZoneDelay, RegionDelay and ClientDelay are one-way delays between
	// availability zones, between regions, and from callers to entry hosts.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	ClientDelay time.Duration
	// Loopback runs over real TCP on loopback addresses.
	Loopback bool
	// Network is the second number of the first region's addresses, and each
	// further region has the next; zero takes DefaultNetwork. Fleets with
	// networks apart can run side by side.
	NetworkNumber int
	// ServiceTime returns the time of one request at a warm target of a service;
	// nil takes the stand-in's own.
	ServiceTime func(svc ids.Service) func(rng *rand.Rand) time.Duration
	// Target changes the stand-in of each target before it starts; it may be nil.
	ConfigureTarget func(svc *config.Service, cfg *target.Config)
	// NoticeTime is how long a leaving host serves on.
	NoticeTime time.Duration
	// Checker asserts the invariants; nil makes one.
	Checker *checker.Checker
}

// Fleet is a running fleet.
type Fleet struct {
	Network *memnet.Network
	Store   *store.Store
	Targets map[ids.Target]*target.Target
	Keys    map[ids.Workspace]string
	Checker *checker.Checker
	// Text is the document of the first revision.
	DocumentText []byte

	cfg      Config
	storeURL string
	servers  []*http.Server

	mu    sync.Mutex
	nodes []*Node
}

// Node is one place of an entry host, which may be started many times.
type Node struct {
	Config entryhost.Config
	// Host is the present or last run; nil before the first.
	Host *entryhost.Host
	up   bool
}

// IP returns the node's IP number.
func (n *Node) IP() string { return ipOf(n.Config.CallersAddress) }

// New returns a fleet whose store and targets run, and whose entry hosts do not.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{
		Store:   &store.Store{},
		Targets: make(map[ids.Target]*target.Target),
		Keys:    make(map[ids.Workspace]string),
		Checker: cfg.Checker,
		cfg:     cfg,
	}
	if f.Checker == nil {
		f.Checker = &checker.Checker{}
	}
	f.Network = &memnet.Network{Delay: f.delay}
	f.giveKeys()
	if err := f.startStore(); err != nil {
		return nil, err
	}
	if err := f.startTargets(); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(cfg.Document, "", "  ")
	if err != nil {
		return nil, errs.New("encode the document: %v", err)
	}
	f.DocumentText = text
	f.placeNodes()
	return f, nil
}

// giveKeys makes one key for each workspace that has none.
func (f *Fleet) giveKeys() {
	for i := range f.cfg.Document.Workspaces {
		w := &f.cfg.Document.Workspaces[i]
		key := ids.NewToken(keyBytes)
		sum := sha256.Sum256([]byte(key))
		f.Keys[w.Name] = key
		w.Keys = []config.Key{{ID: ids.KeyID("key-" + string(w.Name)), SHA256: hex.EncodeToString(sum[:])}}
	}
}

// StoreAddress returns where the store of a fleet with a Network listens.
func StoreAddress(network int) string {
	f := Fleet{cfg: Config{NetworkNumber: network}}
	return fmt.Sprintf("%s:%d", f.StoreIP(), storePort)
}

func (f *Fleet) startStore() error {
	address := StoreAddress(f.cfg.NetworkNumber)
	f.storeURL = "http://" + address
	return f.serve(address, f.Store.Handler())
}

func (f *Fleet) serve(address string, h http.Handler) error {
	l, err := f.Listen(address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() {
		_ = s.Serve(l) // It returns when Close closes the server.
	}()
	return nil
}

// startTargets gives each upstream an address of its region and zone.
func (f *Fleet) startTargets() error {
	used := make(map[string]int)
	for i := range f.cfg.Document.Services {
		svc := &f.cfg.Document.Services[i]
		for j := range svc.Upstreams {
			u := &svc.Upstreams[j]
			region, zone := f.place(u.Region, u.Zone)
			place := fmt.Sprint(region, "/", zone)
			used[place]++
			u.Address = fmt.Sprintf("%s:%d", f.ip(region, zone, used[place]), targetPort)
			if err := f.startTarget(svc, u); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startTarget(svc *config.Service, u *config.Upstream) error {
	cfg := target.Config{Name: string(u.Name), Slots: svc.Slots, Seed: uint64(len(f.Targets) + 1)}
	if f.cfg.ServiceTime != nil {
		cfg.ServiceTime = f.cfg.ServiceTime(svc.Name)
	}
	for _, k := range f.Keys {
		cfg.Secrets = append(cfg.Secrets, k)
	}
	if f.cfg.ConfigureTarget != nil {
		f.cfg.ConfigureTarget(svc, &cfg)
	}
	l, err := f.Listen(u.Address)
	if err != nil {
		return err
	}
	t := target.New(cfg)
	t.Start(l)
	f.Targets[u.Name] = t
	return nil
}

// place returns the numbers of a region and one of its availability zones.
func (f *Fleet) place(r ids.Region, z ids.Zone) (region, zone int) {
	for i, reg := range f.cfg.Document.Regions {
		if reg.Name != r {
			continue
		}
		for j, name := range reg.Zones {
			if name == z {
				return i, j
			}
		}
		return i, 0
	}
	return 0, 0
}

// placeNodes gives each entry host its addresses, zones in turn.
func (f *Fleet) placeNodes() {
	for i, r := range f.cfg.Document.Regions {
		n := r.Seats
		if f.cfg.HostsPerRegion != nil {
			n = f.cfg.HostsPerRegion[i]
		}
		for j := range n {
			f.AddNode(r, i, j)
		}
	}
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			if o != n {
				n.Config.Seeds = append(n.Config.Seeds, o.Config.PeersAddress)
			}
		}
	}
}

// AddNode makes a place for the j-th entry host of the i-th region.
func (f *Fleet) AddNode(r config.Region, i, j int) *Node {
	zone := j % len(r.Zones)
	host := f.ip(i, zone, 100+j)
	n := &Node{Config: entryhost.Config{
		Region:           r.Name,
		Zone:             r.Zones[zone],
		CallersAddress:   fmt.Sprintf("%s:%d", host, callersPort),
		PeersAddress:     fmt.Sprintf("%s:%d", host, peersPort),
		OperatorsAddress: fmt.Sprintf("%s:%d", host, operatorsPort),
		StoreURL:         f.storeURL,
		NoticeTime:       f.cfg.NoticeTime,
		Listen:           f.Listen,
		Dial:             f.Dialer(host),
		Checker:          f.Checker,
	}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

// Stop ends all processes at once.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes() {
		f.KillNode(n)
	}
	for _, t := range f.Targets {
		t.Crash()
	}
	for _, s := range f.servers {
		_ = s.Close() // It is given up either way.
	}
}
