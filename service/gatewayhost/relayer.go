package gatewayhost

import (
	"context"
	"net/http"
	"slices"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

// relayer implements gateway.Relayer: it sends requests to other hosts.
type relayer struct {
	self lister.Host
	// reaching returns the other hosts that reach targets.
	reaching func() []lister.Host
	sender   *targets.Sender
}

// Hosts implements gateway.Relayer. Hosts of the same availability zone come first, then
// those of the region, in random order.
func (r *relayer) Hosts(homeRegions [][]ids.Region) []string {
	var addresses []string
	for _, h := range r.self.Others(r.reaching()) {
		if inAll(h.Region, homeRegions) {
			addresses = append(addresses, h.PeersAddress)
		}
	}
	return addresses
}

// inAll reports whether a region is in each list that is not empty.
func inAll(region ids.Region, lists [][]ids.Region) bool {
	for _, list := range lists {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// Do implements gateway.Relayer.
func (r *relayer) Do(ctx context.Context, address string, req *http.Request) (*http.Response, bool, error) {
	return r.sender.Do(ctx, address, req)
}
