package operators

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
)

// UnreachableHost is a known host that did not respond to the Client.
type UnreachableHost struct {
	Instance ids.Instance `json:"instance,omitempty"`
	Region   ids.Region   `json:"region,omitempty"`
	Address  string       `json:"address"`
	Error    string       `json:"error"`
}

// FleetStatus holds the states of all known hosts.
type FleetStatus struct {
	Hosts       []Status          `json:"hosts"`
	Unreachable []UnreachableHost `json:"silent"`
}

// FleetReport is the sum of the reports of all hosts that responded. It does not
// contain the requests of hosts that have ended or are unreachable.
type FleetReport struct {
	meter.Report
	// Answered lists the hosts whose reports are in the sum.
	Answered    []string          `json:"answered"`
	Unreachable []UnreachableHost `json:"silent"`
}

// Status requests the state of every host that c.Hosts know. Its error is an
// *ErrUnreachable if none of c.Hosts responds.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	fleet := FleetStatus{Hosts: []Status{}, Unreachable: []UnreachableHost{}}
	known, err := c.knownHosts(ctx)
	if err != nil {
		return fleet, err
	}
	var mu sync.Mutex
	fleet.Unreachable = queryAll(known, func(address string) error {
		s, err := c.statusOf(ctx, address)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		fleet.Hosts = append(fleet.Hosts, s)
		return nil
	})
	slices.SortFunc(fleet.Hosts, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.OperatorsAddress, b.OperatorsAddress))
	})
	return fleet, nil
}

// Report requests the report of every host that c.Hosts know, and adds them up. Its
// error is an *ErrUnreachable if none of c.Hosts responds.
func (c *Client) Report(ctx context.Context) (FleetReport, error) {
	fleet := FleetReport{Answered: []string{}, Unreachable: []UnreachableHost{}}
	fleet.Rows = []meter.Row{}
	known, err := c.knownHosts(ctx)
	if err != nil {
		return fleet, err
	}
	var mu sync.Mutex
	fleet.Unreachable = queryAll(known, func(address string) error {
		r, err := c.reportOf(ctx, address)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		fleet.Report = fleet.Add(r)
		fleet.Answered = append(fleet.Answered, address)
		return nil
	})
	slices.Sort(fleet.Answered)
	return fleet, nil
}

// knownHosts returns c.Hosts and all hosts that they know, by operators' address.
func (c *Client) knownHosts(ctx context.Context) (map[string]HostSummary, error) {
	known := make(map[string]HostSummary)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures []error
	for _, host := range c.Hosts {
		known[host] = HostSummary{}
	}
	for _, host := range c.Hosts {
		wg.Go(func() {
			list, err := c.hostList(ctx, host)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
				return
			}
			for _, h := range list.Hosts {
				if old := known[h.OperatorsAddress]; old.Instance == "" || newer(h, old) {
					known[h.OperatorsAddress] = h
				}
			}
		})
	}
	wg.Wait()
	if len(failures) == len(c.Hosts) {
		return nil, &ErrUnreachable{Hosts: c.Hosts, Cause: errors.Join(failures...)}
	}
	return known, nil
}

// newer reports whether a is newer than b, which has the same address. If the
// holder of a seat is missing, a new process may run at its address.
func newer(a, b HostSummary) bool {
	if a.Missing != b.Missing {
		return b.Missing
	}
	return a.Revision > b.Revision
}

// queryAll calls query for all hosts concurrently and returns those for which it
// failed.
func queryAll(known map[string]HostSummary, query func(address string) error) []UnreachableHost {
	unreachable := []UnreachableHost{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for address, line := range known {
		wg.Go(func() {
			if err := query(address); err != nil {
				mu.Lock()
				defer mu.Unlock()
				unreachable = append(unreachable, UnreachableHost{
					Instance: line.Instance, Region: line.Region, Address: address, Error: err.Error(),
				})
			}
		})
	}
	wg.Wait()
	slices.SortFunc(unreachable, func(a, b UnreachableHost) int { return cmp.Compare(a.Address, b.Address) })
	return unreachable
}
