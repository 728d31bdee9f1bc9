package loadsim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/loadsim"
)

// Load: waves of demand, targets that change their speed and tell it, and a region with few
// targets. Guards against shares of the regions that move more than the bound on which operators
// rely, as hosts see all loads late and choose targets by speed, too.
func TestRandomisedChangingSpeedsShiftSlowly(t *testing.T) {
	const shiftBound = 0.15
	const warmUp = 6 * time.Second
	// rateFactor multiplies the rates, the slots and the objects. With few requests or objects,
	// random variation would count as a shift.
	const rateFactor = 8
	for _, deployment := range []loadsim.Deployment{loadsim.SmallDeployment(), loadsim.EvenDeployment()} {
		for _, load := range []float64{1, 1.5} {
			t.Run(fmt.Sprintf("%s/%.1f", deployment.Name, load), func(t *testing.T) {
				large := deployment
				large.Slots *= rateFactor
				large.WarmObjects *= rateFactor
				large.ObjectsPerRegion *= rateFactor
				large.Speed = loadsim.Speed{Factor: 2.5, Share: 0.15, Period: 600 * time.Millisecond}
				shift := simulate(t, large, loadsim.SiblingSharing, rateFactor*load).Timeline.MaxShift(warmUp)
				t.Logf("largest shift %.3f", shift)
				is.New(t).True(shift <= shiftBound)
			})
		}
	}
}
