// Package fleet runs a whole fleet in one process: a stand-in store, stand-in
// targets and real entry hosts. Tests run it on the virtual clock over an
// in-memory network, the demo over loopback addresses.
//
// New starts the store and the targets, Start the entry hosts. StopNode, KillNode
// and StartNode end and restart single hosts, and Stop ends everything.
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

// The ports at which the processes listen.
const (
	storePort     = 7000
	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 9090
	targetPort    = 9000
)

// DefaultNetworkNumber replaces a zero Config.NetworkNumber.
const DefaultNetworkNumber = 10

// keyBytes is the number of random bytes in a workspace's key and in a write ID.
const keyBytes = 32

// Config describes a fleet. Document is required.
type Config struct {
	// Document is the configuration. New sets its upstreams' addresses and its
	// workspaces' keys.
	Document *config.Document
	// HostsPerRegion is the number of entry hosts of each region, in the document's
	// order; nil means one for each seat of the region.
	HostsPerRegion []int
	// ZoneDelay, RegionDelay and ClientDelay are one-way delays between
	// availability zones, between regions, and from callers to entry hosts.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	ClientDelay time.Duration
	// Loopback selects real TCP on loopback addresses instead of Fleet.Network.
	Loopback bool
	// NetworkNumber is the second octet of the first region's IP addresses; each
	// further region has the next number. Zero means DefaultNetworkNumber. Fleets
	// whose ranges do not overlap can run at the same time.
	NetworkNumber int
	// ServiceTime returns the function that draws the time of one request at a warm
	// target of a service; nil means target.DefaultServiceTime.
	ServiceTime func(svc ids.Service) func(rng *rand.Rand) time.Duration
	// ConfigureTarget changes the settings of each target before it starts; it may
	// be nil.
	ConfigureTarget func(svc *config.Service, cfg *target.Config)
	// NoticeTime is how long a host that stops gracefully still serves callers; zero
	// means the default of entryhost.
	NoticeTime time.Duration
	// Checker verifies the invariants across all hosts; nil means a new one.
	Checker *checker.Checker
}

// Fleet is a fleet created by New. Keys holds each workspace's key, Targets the
// stand-in targets by name.
type Fleet struct {
	Network *memnet.Network
	Store   *store.Store
	Targets map[ids.Target]*target.Target
	Keys    map[ids.Workspace]string
	Checker *checker.Checker
	// DocumentText is the JSON text of the first revision.
	DocumentText []byte

	cfg      Config
	storeURL string
	servers  []*http.Server

	mu    sync.Mutex
	nodes []*Node
}

// Node is an entry host with fixed addresses. It may be started several times, each
// time as a new instance.
type Node struct {
	Config entryhost.Config
	// Host is the current or last instance; nil before the first start.
	Host    *entryhost.Host
	running bool
}

// IP returns the node's IP address.
func (n *Node) IP() string { return ipOf(n.Config.CallersAddress) }

// New returns a fleet whose store and targets run. Its entry hosts do not run until
// Start or StartNode. The error is that of listening or of encoding the document.
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
	f.createKeys()
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
	f.addNodes()
	return f, nil
}

// createKeys replaces the keys of each workspace by one new key.
func (f *Fleet) createKeys() {
	for i := range f.cfg.Document.Workspaces {
		w := &f.cfg.Document.Workspaces[i]
		key := ids.NewToken(keyBytes)
		sum := sha256.Sum256([]byte(key))
		f.Keys[w.Name] = key
		w.Keys = []config.Key{{ID: ids.KeyID("key-" + string(w.Name)), SHA256: hex.EncodeToString(sum[:])}}
	}
}

// StoreAddress returns the IP address and port of the store of a fleet with the
// given NetworkNumber.
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
		_ = s.Serve(l) // returns when Stop closes the server
	}()
	return nil
}

// startTargets assigns each upstream an address of its region and zone, and starts
// its target.
func (f *Fleet) startTargets() error {
	used := make(map[string]int)
	for i := range f.cfg.Document.Services {
		svc := &f.cfg.Document.Services[i]
		for j := range svc.Upstreams {
			u := &svc.Upstreams[j]
			region, zone := f.locationOf(u.Region, u.Zone)
			location := fmt.Sprint(region, "/", zone)
			used[location]++
			u.Address = fmt.Sprintf("%s:%d", f.ip(region, zone, used[location]), targetPort)
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

// locationOf returns the indices of a region and of one of its availability zones.
// An unknown zone counts as the first.
func (f *Fleet) locationOf(r ids.Region, z ids.Zone) (region, zone int) {
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

// addNodes adds the nodes of all regions, each with the others as its seeds.
func (f *Fleet) addNodes() {
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

// AddNode adds a node for the entry host hostIndex of region r, whose index in the
// document is regionIndex. Hosts are assigned to the region's availability zones in
// turn. The node has no seeds and is not started.
func (f *Fleet) AddNode(r config.Region, regionIndex, hostIndex int) *Node {
	zone := hostIndex % len(r.Zones)
	ip := f.ip(regionIndex, zone, 100+hostIndex)
	n := &Node{Config: entryhost.Config{
		Region:           r.Name,
		Zone:             r.Zones[zone],
		CallersAddress:   fmt.Sprintf("%s:%d", ip, callersPort),
		PeersAddress:     fmt.Sprintf("%s:%d", ip, peersPort),
		OperatorsAddress: fmt.Sprintf("%s:%d", ip, operatorsPort),
		StoreURL:         f.storeURL,
		NoticeTime:       f.cfg.NoticeTime,
		Listen:           f.Listen,
		Dial:             f.Dialer(ip),
		Checker:          f.Checker,
	}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

// Stop kills all entry hosts and ends the targets and the store.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes() {
		f.KillNode(n)
	}
	for _, t := range f.Targets {
		t.Crash()
	}
	for _, s := range f.servers {
		_ = s.Close() // the server is not used again
	}
}
