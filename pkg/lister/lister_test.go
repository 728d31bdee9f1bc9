package lister_test

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/lister"
)

func hosts() []lister.Host {
	return []lister.Host{
		{Callers: "10.0.0.1:80", Zone: "one", Region: "west"},
		{Callers: "10.0.0.2:80", Zone: "two", Region: "west"},
		{Callers: "10.0.0.3:80", Zone: "three", Region: "east"},
	}
}

func TestNearestHostsAreNamed(t *testing.T) {
	is := is.New(t)
	var l lister.Lister
	l.SetHosts(hosts())
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.1:80"})
	l.SetSilent(map[string]bool{"10.0.0.1:80": true})
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.2:80"})
	l.SetSilent(map[string]bool{"10.0.0.1:80": true, "10.0.0.2:80": true})
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.3:80"})
}

func TestHostThatIsNotReadyNamesOthers(t *testing.T) {
	is := is.New(t)
	var l lister.Lister
	l.SetHosts(hosts())
	l.SetSelf("10.0.0.1:80", false)
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.2:80"})
	l.SetSelf("10.0.0.1:80", true)
	is.Equal(l.Addresses("one", "west"), []string{"10.0.0.1:80"})
}
