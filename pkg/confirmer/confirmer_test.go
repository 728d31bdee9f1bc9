package confirmer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
)

// fakeClock is a Clock with a settable suspension time.
type fakeClock struct{ suspended time.Duration }

func (s *fakeClock) Suspended() time.Duration { return s.suspended }

func TestAgeCountsFromTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c confirmer.Confirmer
		is.True(!c.Within(time.Hour)) // no confirmation yet
		s := c.Now()
		time.Sleep(2 * time.Second) // the response is slow
		c.Confirm(s)
		age, ok := c.Age()
		is.True(ok)
		is.Equal(age, 2*time.Second)
	})
}

func TestSuspensionIsIncludedInAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := &fakeClock{}
		c := confirmer.Confirmer{Clock: clock}
		c.Confirm(c.Now())
		is.True(c.Within(time.Second))
		clock.suspended = 5 * time.Second
		is.True(!c.Within(4 * time.Second))
		age, _ := c.Age()
		is.Equal(age, 5*time.Second)
	})
}

func TestOlderConfirmationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c confirmer.Confirmer
		old := c.Now()
		time.Sleep(time.Second)
		c.Confirm(c.Now())
		c.Confirm(old)
		age, _ := c.Age()
		is.Equal(age, time.Duration(0))
	})
}
