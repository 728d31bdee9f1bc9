package seater

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

func newHolder(name string, r ids.Region) Holder {
	return Holder{Instance: ids.Instance(name), Region: r, PeersAddress: name + ":1", Lease: "lease-" + name}
}

// fiveSeats returns a table of five seats, held by the instances a to e.
func fiveSeats(is *is.I) *Table {
	is.Helper()
	t, err := (&Table{}).Resize([]ids.Region{"x", "x", "x", "x", "x"})
	is.NoErr(err)
	is.Equal(t.ResizedFrom, 0) // the first table needs no commit
	for n, name := range []string{"a", "b", "c", "d", "e"} {
		next, err := t.Claim(newHolder(name, "x"), ids.Seat(n))
		is.NoErr(err)
		is.NoErr(CheckTransition(t, next))
		t = next
	}
	return t
}

func TestClaimNeedsFreeSeatOfRegion(t *testing.T) {
	is := is.New(t)
	table := fiveSeats(is)
	_, err := table.Claim(newHolder("f", "x"), 2)
	is.True(err != nil) // the seat is held
	_, err = table.Claim(newHolder("f", "x"), 5)
	is.True(err != nil) // there is no such seat
	table, err = table.ReleaseAll("c", true)
	is.NoErr(err)
	_, err = table.Claim(newHolder("f", "y"), 2)
	is.True(err != nil) // the seat belongs to another region
	_, err = table.Claim(newHolder("f", "x"), 2)
	is.NoErr(err)
}

func TestReclaimNeedsMajorityOfSeats(t *testing.T) {
	is := is.New(t)
	table := fiveSeats(is)
	p := ReclaimProof{Holder: "a", Lease: "lease-a", FencedBy: []ids.Instance{"b", "c"}}
	_, err := table.Reclaim(p)
	is.True(err != nil) // two of five seats are no majority
	p.FencedBy = []ids.Instance{"b", "c", "b", "b"}
	_, err = table.Reclaim(p)
	is.True(err != nil) // each voter counts once
	p.FencedBy = []ids.Instance{"a", "b", "c"}
	_, err = table.Reclaim(p)
	is.True(err != nil) // the holder to be reclaimed cannot vote
	p.FencedBy = []ids.Instance{"b", "c", "d"}
	replaced, err := table.ReplaceLease("a", "lease-new")
	is.NoErr(err)
	_, err = replaced.Reclaim(p)
	is.True(err != nil) // the holder has a new store lease
	next, err := table.Reclaim(p)
	is.NoErr(err)
	is.Equal(next.Seats[0].Holder, ids.Instance(""))
	is.True(next.Seats[0].Unclean)
	is.True(next.Seats[0].Epoch > table.Seats[0].Epoch)
	is.True(!next.HasMajority([]ids.Instance{"b", "c"})) // a free seat counts in the total
}

func TestSeatStaysUncleanUntilPredecessorsAreDone(t *testing.T) {
	is := is.New(t)
	table := fiveSeats(is)
	successor := newHolder("f", "x")
	successor.PeersAddress = "a:1"
	table, err := table.TakeOver(successor)
	is.NoErr(err)
	is.True(table.Seats[0].Unclean)
	early, err := table.ReleaseAll("f", false)
	is.NoErr(err)
	is.True(early.Seats[0].Unclean) // requests of the first holder may still run
	late, err := table.ReleaseAll("f", true)
	is.NoErr(err)
	is.True(!late.Seats[0].Unclean)
	_, err = table.TakeOver(successor)
	is.True(err != nil) // no other instance holds a seat at this address
}

func TestResizeNeedsBothMajoritiesUntilCommitted(t *testing.T) {
	is := is.New(t)
	table := fiveSeats(is)
	regions := []ids.Region{"x", "x", "x", "x", "x", "y", "y", "y", "y"}
	table, err := table.Resize(regions)
	is.NoErr(err)
	is.Equal(table.ResizedFrom, 5)
	for n := range 4 {
		table, err = table.Claim(newHolder(string(rune('p'+n)), "y"), ids.Seat(5+n))
		is.NoErr(err)
	}
	is.True(!table.HasMajority([]ids.Instance{"p", "q", "r", "s", "a"})) // one of the five seats before the resize
	is.True(!table.HasMajority([]ids.Instance{"a", "b", "c"}))           // three of all nine seats
	is.True(table.HasMajority([]ids.Instance{"a", "b", "c", "p", "q"}))  // three of five and five of nine
	_, err = table.CommitResize([]ids.Instance{"p", "q", "r", "s", "a"})
	is.True(err != nil)
	table, err = table.CommitResize([]ids.Instance{"a", "b", "c", "p", "q"})
	is.NoErr(err)
	is.True(table.HasMajority([]ids.Instance{"p", "q", "r", "s", "a"}))
	_, err = table.Resize(regions)
	is.True(err != nil) // the table has these seats already
	shrunk, err := table.Resize(regions[:8])
	is.True(err != nil) // the surplus seat is still held
	is.True(shrunk == nil)
	table, err = table.ReleaseAll("s", true)
	is.NoErr(err)
	table, err = table.Resize(regions[:8])
	is.NoErr(err)
	is.Equal(table.Seats[8].Region, ids.Region("")) // the seat is retired and cannot be claimed
	_, err = table.Claim(newHolder("s", "y"), 8)
	is.True(err != nil)
}
