package loadsim_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/loadsim"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
)

// length is the usual virtual length of a play; a wave takes 36 s.
const length = 12 * time.Second

// play runs a site on the virtual clock.
func play(t *testing.T, site loadsim.Site, sharing loadsim.Sharing, load float64) loadsim.Result {
	t.Helper()
	var res loadsim.Result
	synctest.Test(t, func(t *testing.T) {
		res = loadsim.Play(site, sharing, load, seeds.VirtualDuration(length), seeds.NewRand(t))
	})
	t.Logf("%-7s %-10s %.1f  %v", site.Name, sharing, load, res)
	return res
}

// What siblings tell each other serves nearly as many in time as if every host
// knew everything at once, and far more than if each knew only its own requests, or
// used only slots of its own.
func TestRandomisedSharedKnowledgeIsWorthIt(t *testing.T) {
	for _, c := range []struct {
		site loadsim.Site
		load float64
	}{
		{loadsim.Shop(), 1}, {loadsim.Shop(), 2.4}, {loadsim.Courts(), 1.3},
	} {
		t.Run(fmt.Sprintf("%s/%.1f", c.site.Name, c.load), func(t *testing.T) {
			is := is.New(t)
			oracle := play(t, c.site, loadsim.Everything, c.load).Share()
			told := play(t, c.site, loadsim.Siblings, c.load).Share()
			alone := play(t, c.site, loadsim.Nothing, c.load).Share()
			is.True(told >= 0.9*oracle) // the oracle's share
			is.True(told > alone)
			is.True(told > play(t, c.site, loadsim.Rights, c.load).Share())
		})
	}
}

// Waves alone move no more than a part of a region's requests to other regions from
// one window to the next, at any load.
func TestRandomisedWavesShiftSlowly(t *testing.T) {
	const shiftBound = 0.15 // the operators' bound
	const warming = 6 * time.Second
	// busy multiplies rates alone: with few requests in a window their chance spread
	// would count as a shift.
	const busy = 8
	for _, site := range []loadsim.Site{loadsim.Shop(), loadsim.Courts()} {
		for _, load := range []float64{1, 1.5} {
			t.Run(fmt.Sprintf("%s/%.1f", site.Name, load), func(t *testing.T) {
				large := site
				large.Slots *= busy
				shift := play(t, large, loadsim.Siblings, busy*load).Timeline.Shift(warming)
				t.Logf("largest shift %.3f", shift)
				is.New(t).True(shift <= shiftBound)
			})
		}
	}
}

// A play with two kinds draws its timeline.
func TestDrawings(t *testing.T) {
	is := is.New(t)
	res := play(t, loadsim.Desk(), loadsim.Siblings, 1)
	files, err := res.Timeline.Draw(t.TempDir(), "desk")
	is.NoErr(err)
	is.Equal(len(files), 4)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(text), "<?xml") && strings.Contains(string(text), "<svg"))
	}
	last := res.Timeline.Parts[len(res.Timeline.Parts)-2]
	is.Equal(len(last.Kinds), 2)
	is.Equal(len(last.Zones), 6)
	is.True(last.Kinds["look-up"].Percentile(99) >= last.Kinds["look-up"].Percentile(50))
}

// At twice the load, cold work and queues as long as callers bear must not take
// all slots for good: the same targets can serve nine of ten in time.
func TestRandomisedOverloadDoesNotCollapse(t *testing.T) {
	is := is.New(t)
	const least = 0.4
	is.True(play(t, loadsim.Courts(), loadsim.Siblings, 2).Share() > least)
}
