package confirmer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
)

// stopped is a clock of a host that was suspended.
type stopped struct{ d time.Duration }

func (s *stopped) Suspended() time.Duration { return s.d }

func TestAgeCountsFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c confirmer.Confirmer
		is.True(!c.Within(time.Hour)) // no confirmation yet
		s := c.Now()
		time.Sleep(2 * time.Second) // the answer is slow
		c.Confirm(s)
		age, ok := c.Age()
		is.True(ok)
		is.Equal(age, 2*time.Second)
	})
}

func TestSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := &stopped{}
		c := confirmer.Confirmer{Clock: clock}
		c.Confirm(c.Now())
		is.True(c.Within(time.Second))
		clock.d = 5 * time.Second
		is.True(!c.Within(4 * time.Second))
		age, _ := c.Age()
		is.Equal(age, 5*time.Second)
	})
}

func TestOlderConfirmationChangesNothing(t *testing.T) {
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
