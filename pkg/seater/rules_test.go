package seater

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

func holder(name string, r ids.Region) Holder {
	return Holder{Instance: ids.Instance(name), Region: r, PeersAddress: name + ":1", Lease: "lease-" + name}
}

// seated returns a table of five seats that the instances a to e hold.
func seated(is *is.I) *Table {
	is.Helper()
	t, err := (&Table{}).Resize([]ids.Region{"x", "x", "x", "x", "x"})
	is.NoErr(err)
	is.Equal(t.ResizedFrom, 0) // a first table is settled
	for n, name := range []string{"a", "b", "c", "d", "e"} {
		next, err := t.Claim(holder(name, "x"), ids.Seat(n))
		is.NoErr(err)
		is.NoErr(CheckTransition(t, next))
		t = next
	}
	return t
}

func TestClaimNeedsAFreeSeatOfTheRegion(t *testing.T) {
	is := is.New(t)
	table := seated(is)
	_, err := table.Claim(holder("f", "x"), 2)
	is.True(err != nil) // held
	_, err = table.Claim(holder("f", "x"), 5)
	is.True(err != nil) // no such seat
	table, err = table.ReleaseAll("c", true)
	is.NoErr(err)
	_, err = table.Claim(holder("f", "y"), 2)
	is.True(err != nil) // another region's
	_, err = table.Claim(holder("f", "x"), 2)
	is.NoErr(err)
}

func TestReclaimNeedsAMajorityOfSeats(t *testing.T) {
	is := is.New(t)
	table := seated(is)
	p := ReclaimProof{Holder: "a", Lease: "lease-a", FencedBy: []ids.Instance{"b", "c"}}
	_, err := table.Reclaim(p)
	is.True(err != nil) // two of five
	p.FencedBy = []ids.Instance{"b", "c", "b", "b"}
	_, err = table.Reclaim(p)
	is.True(err != nil) // a voter counts once
	p.FencedBy = []ids.Instance{"a", "b", "c"}
	_, err = table.Reclaim(p)
	is.True(err != nil) // the silent one cannot vote
	p.FencedBy = []ids.Instance{"b", "c", "d"}
	relet, err := table.ReplaceLease("a", "lease-new")
	is.NoErr(err)
	_, err = relet.Reclaim(p)
	is.True(err != nil) // it has a new lease since
	next, err := table.Reclaim(p)
	is.NoErr(err)
	is.Equal(next.Seats[0].Holder, ids.Instance(""))
	is.True(next.Seats[0].Unclean)
	is.True(next.Seats[0].Epoch > table.Seats[0].Epoch)
	is.True(!next.HasMajority([]ids.Instance{"b", "c"})) // a free seat still counts
}

func TestUncleanStaysUntilRested(t *testing.T) {
	is := is.New(t)
	table := seated(is)
	successor := holder("f", "x")
	successor.PeersAddress = "a:1"
	table, err := table.TakeOver(successor)
	is.NoErr(err)
	is.True(table.Seats[0].Unclean)
	early, err := table.ReleaseAll("f", false)
	is.NoErr(err)
	is.True(early.Seats[0].Unclean) // the first holder's requests may still run
	late, err := table.ReleaseAll("f", true)
	is.NoErr(err)
	is.True(!late.Seats[0].Unclean)
	_, err = table.TakeOver(successor)
	is.True(err != nil) // nobody else's seat is there any more
}

func TestResizeNeedsBothMajoritiesUntilSettled(t *testing.T) {
	is := is.New(t)
	table := seated(is)
	regions := []ids.Region{"x", "x", "x", "x", "x", "y", "y", "y", "y"}
	table, err := table.Resize(regions)
	is.NoErr(err)
	is.Equal(table.ResizedFrom, 5)
	for n := range 4 {
		table, err = table.Claim(holder(string(rune('p'+n)), "y"), ids.Seat(5+n))
		is.NoErr(err)
	}
	is.True(!table.HasMajority([]ids.Instance{"p", "q", "r", "s", "a"})) // one of the five before
	is.True(!table.HasMajority([]ids.Instance{"a", "b", "c"}))           // three of nine
	is.True(table.HasMajority([]ids.Instance{"a", "b", "c", "p", "q"}))  // both
	_, err = table.CommitResize([]ids.Instance{"p", "q", "r", "s", "a"})
	is.True(err != nil)
	table, err = table.CommitResize([]ids.Instance{"a", "b", "c", "p", "q"})
	is.NoErr(err)
	is.True(table.HasMajority([]ids.Instance{"p", "q", "r", "s", "a"}))
	_, err = table.Resize(regions)
	is.True(err != nil) // nothing to change
	shrunk, err := table.Resize(regions[:8])
	is.True(err != nil) // no surplus seat is free yet
	is.True(shrunk == nil)
	table, err = table.ReleaseAll("s", true)
	is.NoErr(err)
	table, err = table.Resize(regions[:8])
	is.NoErr(err)
	is.Equal(table.Seats[8].Region, ids.Region("")) // retired, and never claimed again
	_, err = table.Claim(holder("s", "y"), 8)
	is.True(err != nil)
}
