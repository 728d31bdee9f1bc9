package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The round-trip time to a zone is measured by the connections that are opened: a
// nearby zone of another region is preferred to a distant zone of the own region. A
// single slow connection changes little.
func TestMeasuredRTTs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(2, "e2", "w1")
		zone := func() ids.Zone {
			c := pick(t, bal, request("a"))
			c.Done(balancer.Result{})
			return c.Zone
		}
		connected := func(z ids.Zone, took time.Duration) {
			for _, x := range all {
				if x.Zone == z {
					bal.RecordConnectTime(x.Address, took)
				}
			}
		}
		is.Equal(zone(), ids.Zone("e2"))
		connected("e2", 2*time.Millisecond)
		connected("w1", 40*time.Millisecond)
		connected("e2", 3*time.Second) // its host was busy
		is.Equal(zone(), ids.Zone("e2"))
		for range 400 {
			connected("e2", 300*time.Millisecond)
		}
		is.Equal(zone(), ids.Zone("w1"))
		bal.RecordConnectTime("10.9.9.9:1", time.Millisecond) // no target
	})
}
