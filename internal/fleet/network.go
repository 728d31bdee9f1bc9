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

// ip returns the IP number of the n-th machine of a zone.
func (f *Fleet) ip(region, zone, n int) string {
	first := f.cfg.NetworkNumber
	if first == 0 {
		first = DefaultNetworkNumber
	}
	return fmt.Sprintf("127.%d.%d.%d", first+region, zone, n)
}

func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// storeNumber is the last part of the store's IP number.
const storeNumber = 250

// clientNumber is the last part of callers' IP numbers.
const clientNumber = 200

// ClientIP returns the IP number of the callers in a region's first zone.
func (f *Fleet) ClientIP(r ids.Region) string {
	region, _ := f.place(r, "")
	return f.ip(region, 0, clientNumber)
}

// delay returns the one-way delay between two IP numbers of the fleet.
func (f *Fleet) delay(from, to string) time.Duration {
	a, b := parts(from), parts(to)
	var d time.Duration
	switch {
	case a[1] != b[1]:
		d = f.cfg.RegionDelay
	case a[2] != b[2]:
		d = f.cfg.ZoneDelay
	}
	if a[3] == clientNumber || b[3] == clientNumber {
		d += f.cfg.ClientDelay
	}
	return d
}

// parts returns the four numbers of an IP number, or zeros.
func parts(address string) [4]byte {
	a, err := netip.ParseAddr(address)
	if err != nil || !a.Is4() {
		return [4]byte{}
	}
	return a.As4()
}

// Listen opens a listener of the fleet's network.
func (f *Fleet) Listen(address string) (net.Listener, error) {
	if !f.cfg.Loopback {
		return f.Network.Listen(address)
	}
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", address)
}

// Dialer returns the function by which the machine at an IP number dials.
func (f *Fleet) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	if f.cfg.Loopback {
		return f.Network.TCPDialer(from)
	}
	return f.Network.Dialer(from)
}

// Operators returns a client of the operators' side of all entry hosts.
func (f *Fleet) OperatorsClient() *operators.Client {
	c := &operators.Client{HTTP: &http.Client{Transport: f.Transport(f.ip(0, 0, clientNumber))}}
	for _, n := range f.Nodes() {
		c.Hosts = append(c.Hosts, n.Config.OperatorsAddress)
	}
	return c
}

// Transport returns an HTTP transport of the machine at an IP number.
func (f *Fleet) Transport(from string) *http.Transport {
	dial := f.Dialer(from)
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
}

// StoreIP returns the IP number of the store.
func (f *Fleet) StoreIP() string { return f.ip(0, 0, storeNumber) }
