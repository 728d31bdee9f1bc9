package registrar_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// Load: thousands of targets register at once, as when a fleet starts. Guards against work for all
// targets at each registration, and against changes that are held back for long.
func TestManyRegistrationsArePassedOnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls, known := 0, 0
		r := registrar.Registrar{OnChange: func(all []registrar.Target) { calls, known = calls+1, len(all) }}
		const targets = 3000
		for i := range targets {
			r.Put(registrar.Target{ID: ids.Target(fmt.Sprint(i)), Service: "s"})
		}
		is.True(calls < 300)
		r.Expire()
		is.True(known < targets) // not twice within the interval
		time.Sleep(100 * time.Millisecond)
		r.Expire()
		is.Equal(known, targets)
		calls = 0
		r.Expire()
		is.Equal(calls, 0) // nothing changed
		time.Sleep(time.Second)
		r.Put(registrar.Target{ID: "1", Service: "s", Draining: true})
		is.Equal(calls, 1) // a change by itself is passed on at once
	})
}
