package lister_test

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/lister"
)

func hosts() []lister.Host {
	return []lister.Host{
		{CallersAddress: "10.0.0.1:80", Zone: "one", Region: "west"},
		{CallersAddress: "10.0.0.2:80", Zone: "two", Region: "west"},
		{CallersAddress: "10.0.0.3:80", Zone: "three", Region: "east"},
	}
}

func TestAddressesPreferNearestHosts(t *testing.T) {
	is := is.New(t)
	var l lister.Lister
	l.SetHosts(hosts(), nil)
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.1:80"})
	l.SetUnavailable(map[string]bool{"10.0.0.1:80": true})
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.2:80"})
	l.SetUnavailable(map[string]bool{"10.0.0.1:80": true, "10.0.0.2:80": true})
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.3:80"})
}

func TestUnreadyHostIsNotListed(t *testing.T) {
	is := is.New(t)
	var l lister.Lister
	l.SetHosts(hosts(), nil)
	l.SetSelf(hosts()[0], false)
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.2:80"})
	l.SetSelf(hosts()[0], true)
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.1:80"})
}

// Registrations expire during an outage of the store. A host that is still available
// stays known, because the hosts' shares of the rate limits depend on their number.
func TestAvailableHostsOutliveTheirRegistrations(t *testing.T) {
	is := is.New(t)
	var l lister.Lister
	l.SetHosts(hosts(), nil)
	l.SetHosts(nil, map[string]bool{"10.0.0.1:80": true, "10.0.0.2:80": true})
	is.Equal(len(l.Hosts()), 2)
	l.SetUnavailable(map[string]bool{"10.0.0.2:80": true}) // It is silent or shutting down.
	is.Equal(len(l.Hosts()), 1)
	l.SetHosts(hosts(), nil)
	l.SetUnavailable(map[string]bool{"10.0.0.2:80": true}) // It is registered, so it may be only isolated.
	is.Equal(len(l.Hosts()), 3)
}

// A host that is ready lists itself, whether it is registered or not.
func TestReadyHostListsItself(t *testing.T) {
	is := is.New(t)
	var l lister.Lister
	l.SetSelf(lister.Host{CallersAddress: "10.0.0.9:80", Zone: "one", Region: "west"}, true)
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.9:80"})
	is.Equal(len(l.Hosts()), 1)
}
