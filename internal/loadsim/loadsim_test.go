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

// usualDuration is a third of the deployments' wave period.
const usualDuration = 12 * time.Second

// simulate runs a deployment on the virtual clock.
func simulate(t *testing.T, deployment loadsim.Deployment, sharing loadsim.Sharing, load float64) loadsim.Result {
	t.Helper()
	var result loadsim.Result
	synctest.Test(t, func(t *testing.T) {
		result = loadsim.Run(deployment, sharing, load, seeds.VirtualDuration(usualDuration), seeds.NewRand(t))
	})
	t.Logf("%-7s %-10s %.1f  %v", deployment.Name, sharing, load, result)
	return result
}

// A periodic exchange of state serves nearly as many requests on time as instant
// knowledge does, and more than no exchange or a partition of the slots.
func TestRandomisedSharingServesMoreOnTime(t *testing.T) {
	for _, c := range []struct {
		deployment loadsim.Deployment
		load       float64
	}{
		{loadsim.SmallDeployment(), 1}, {loadsim.SmallDeployment(), 2.4}, {loadsim.EvenDeployment(), 1.3},
	} {
		t.Run(fmt.Sprintf("%s/%.1f", c.deployment.Name, c.load), func(t *testing.T) {
			is := is.New(t)
			oracle := simulate(t, c.deployment, loadsim.InstantSharing, c.load).OnTimeShare()
			siblings := simulate(t, c.deployment, loadsim.SiblingSharing, c.load).OnTimeShare()
			isolated := simulate(t, c.deployment, loadsim.NoSharing, c.load).OnTimeShare()
			is.True(siblings >= 0.9*oracle) // instant knowledge is the upper bound
			is.True(siblings > isolated)
			is.True(siblings > simulate(t, c.deployment, loadsim.PartitionedSlots, c.load).OnTimeShare())
		})
	}
}

// Waves of load alone must not move more than shiftBound of a region's requests to
// other regions from one window to the next.
func TestRandomisedWavesShiftSlowly(t *testing.T) {
	const shiftBound = 0.15 // The bound that operators rely on.
	const warmUp = 6 * time.Second
	// rateFactor multiplies the rates and the slots. With few requests in a window,
	// random variation would count as a shift.
	const rateFactor = 8
	for _, deployment := range []loadsim.Deployment{loadsim.SmallDeployment(), loadsim.EvenDeployment()} {
		for _, load := range []float64{1, 1.5} {
			t.Run(fmt.Sprintf("%s/%.1f", deployment.Name, load), func(t *testing.T) {
				large := deployment
				large.Slots *= rateFactor
				shift := simulate(t, large, loadsim.SiblingSharing, rateFactor*load).Timeline.MaxShift(warmUp)
				t.Logf("largest shift %.3f", shift)
				is.New(t).True(shift <= shiftBound)
			})
		}
	}
}

// A simulation with two classes draws their timeline.
func TestTimelineIsDrawn(t *testing.T) {
	is := is.New(t)
	res := simulate(t, loadsim.TwoClassDeployment(), loadsim.SiblingSharing, 1)
	files, err := res.Timeline.Draw(t.TempDir(), "desk")
	is.NoErr(err)
	is.Equal(len(files), 4)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(text), "<?xml") && strings.Contains(string(text), "<svg"))
	}
	last := res.Timeline.Intervals[len(res.Timeline.Intervals)-2]
	is.Equal(len(last.Classes), 2)
	is.Equal(len(last.Zones), 6)
	is.True(last.Classes["look-up"].Percentile(99) >= last.Classes["look-up"].Percentile(50))
}

// At twice the load, cold objects and long queues must not take up all slots for
// good. The targets have the capacity to serve nine of ten requests on time.
func TestRandomisedOverloadServesManyOnTime(t *testing.T) {
	is := is.New(t)
	const minOnTime = 0.4
	is.True(simulate(t, loadsim.EvenDeployment(), loadsim.SiblingSharing, 2).OnTimeShare() > minOnTime)
}
