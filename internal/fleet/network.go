package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/operators"
)

// ip returns the IP address with last octet n in an availability zone.
func (f *Fleet) ip(region, zone, n int) string {
	firstRegion := f.cfg.NetworkNumber
	if firstRegion == 0 {
		firstRegion = DefaultNetworkNumber
	}
	return fmt.Sprintf("127.%d.%d.%d", firstRegion+region, zone, n)
}

func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// storeOctet is the last octet of the store's IP address.
const storeOctet = 250

// clientOctet is the last octet of callers' IP addresses.
const clientOctet = 200

// ClientIP returns the IP address of a region's callers, in its first availability
// zone.
func (f *Fleet) ClientIP(r ids.Region) string {
	region, _ := f.locationOf(r, "")
	return f.ip(region, 0, clientOctet)
}

// delay returns the one-way delay between two IP addresses of the fleet.
func (f *Fleet) delay(from, to string) time.Duration {
	a, b := octets(from), octets(to)
	var d time.Duration
	switch {
	case a[1] != b[1]:
		d = f.cfg.RegionDelay
	case a[2] != b[2]:
		d = f.cfg.ZoneDelay
	}
	if a[3] == clientOctet || b[3] == clientOctet {
		d += f.cfg.ClientDelay
	}
	return d
}

// octets returns the octets of an IPv4 address, or zeros if it is not one.
func octets(address string) [4]byte {
	a, err := netip.ParseAddr(address)
	if err != nil || !a.Is4() {
		return [4]byte{}
	}
	return a.As4()
}

// Listen opens a listener at an IP address and port of the fleet's network.
func (f *Fleet) Listen(address string) (net.Listener, error) {
	if !f.cfg.Loopback {
		return f.Network.Listen(address)
	}
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", address)
}

// Dialer returns a function that opens connections from an IP address, with the
// delays and faults of Fleet.Network.
func (f *Fleet) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	if f.cfg.Loopback {
		return f.Network.TCPDialer(from)
	}
	return f.Network.Dialer(from)
}

// OperatorsClient returns a client of the operators' interface of all entry hosts.
func (f *Fleet) OperatorsClient() *operators.Client {
	c := &operators.Client{HTTP: &http.Client{Transport: f.Transport(f.ip(0, 0, clientOctet))}}
	for _, n := range f.Nodes() {
		c.Hosts = append(c.Hosts, n.Config.OperatorsAddress)
	}
	return c
}

// Transport returns an HTTP transport that connects from an IP address.
func (f *Fleet) Transport(from string) *http.Transport {
	dial := f.Dialer(from)
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
}

// StoreIP returns the IP address of the store.
func (f *Fleet) StoreIP() string { return f.ip(0, 0, storeOctet) }
