package registrar_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// watched returns a Registrar and the names that it told of last.
func watched() (*registrar.Registrar, *[]ids.Target) {
	var names []ids.Target
	r := &registrar.Registrar{Changed: func(all []registrar.Target) {
		names = names[:0]
		for _, t := range all {
			names = append(names, t.ID)
		}
		slices.Sort(names)
	}}
	return r, &names
}

func targets(names ...ids.Target) []registrar.Target {
	var all []registrar.Target
	for _, n := range names {
		all = append(all, registrar.Target{ID: n})
	}
	return all
}

func TestMissingTargetIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	r, names := watched()
	r.Replace(targets("a", "b"), false)
	r.Replace(targets("b"), false)
	is.Equal(*names, []ids.Target{"b"})
	r.Remove("b")
	is.Equal(len(*names), 0)
}

// Registrations that expired during an outage are back within two seconds, or
// their targets are gone.
func TestOutageKeepsTargetsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, names := watched()
		r.Replace(targets("a", "b", "c"), false)
		r.Replace(targets(), true)
		is.Equal(*names, []ids.Target{"a", "b", "c"})
		time.Sleep(time.Second)
		r.Put(registrar.Target{ID: "a"})
		r.Replace(targets("a"), false) // Another whole read in between.
		is.Equal(*names, []ids.Target{"a", "b", "c"})
		r.Remove("c") // A removal that was told counts at once.
		is.Equal(*names, []ids.Target{"a", "b"})
		time.Sleep(1100 * time.Millisecond)
		r.Expire()
		is.Equal(*names, []ids.Target{"a"})
	})
}
