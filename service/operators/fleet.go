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

// SilentHost is a host that is known of but did not answer the operator.
type UnreachableHost struct {
	Instance ids.Instance `json:"instance,omitempty"`
	Region   ids.Region   `json:"region,omitempty"`
	Address  string       `json:"address"`
	Error    string       `json:"error"`
}

// FleetStatus is the state of all hosts that are known of.
type FleetStatus struct {
	Hosts       []Status          `json:"hosts"`
	Unreachable []UnreachableHost `json:"silent"`
}

// FleetReport is the sum of the reports of all hosts that answered. The
// requests of hosts that ended or are silent are not in it.
type FleetReport struct {
	meter.Report
	// Answered lists the hosts whose reports are in the sum.
	Answered    []string          `json:"answered"`
	Unreachable []UnreachableHost `json:"silent"`
}

// Status asks every host that the Client's hosts know of for its state.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	fleet := FleetStatus{Hosts: []Status{}, Unreachable: []UnreachableHost{}}
	known, err := c.known(ctx)
	if err != nil {
		return fleet, err
	}
	var mu sync.Mutex
	fleet.Unreachable = eachHost(known, func(address string) error {
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

// Report asks every host that the Client's hosts know of for its report.
func (c *Client) Report(ctx context.Context) (FleetReport, error) {
	fleet := FleetReport{Answered: []string{}, Unreachable: []UnreachableHost{}}
	fleet.Rows = []meter.Row{}
	known, err := c.known(ctx)
	if err != nil {
		return fleet, err
	}
	var mu sync.Mutex
	fleet.Unreachable = eachHost(known, func(address string) error {
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

// known returns all hosts that the Client's hosts know of, by address, and the
// Client's hosts themselves.
func (c *Client) known(ctx context.Context) (map[string]HostSummary, error) {
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

// newer reports whether a tells more of the host at an address than b does. A
// silent holder of a seat may have been followed by a new process there.
func newer(a, b HostSummary) bool {
	if a.Missing != b.Missing {
		return b.Missing
	}
	return a.Revision > b.Revision
}

// eachHost calls ask for all hosts at once and returns those that failed.
func eachHost(known map[string]HostSummary, ask func(address string) error) []UnreachableHost {
	silent := []UnreachableHost{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for address, line := range known {
		wg.Go(func() {
			if err := ask(address); err != nil {
				mu.Lock()
				defer mu.Unlock()
				silent = append(silent, UnreachableHost{
					Instance: line.Instance, Region: line.Region, Address: address, Error: err.Error(),
				})
			}
		})
	}
	wg.Wait()
	slices.SortFunc(silent, func(a, b UnreachableHost) int { return cmp.Compare(a.Address, b.Address) })
	return silent
}
