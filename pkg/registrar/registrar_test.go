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

// newRegistrar returns a Registrar and the target IDs of its last OnChange call.
func newRegistrar() (*registrar.Registrar, *[]ids.Target) {
	var names []ids.Target
	r := &registrar.Registrar{OnChange: func(all []registrar.Target) {
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

func TestMissingTargetIsRemoved(t *testing.T) {
	is := is.New(t)
	r, names := newRegistrar()
	r.Replace(targets("a", "b"), registrar.NormalRead)
	r.Replace(targets("b"), registrar.NormalRead)
	is.Equal(*names, []ids.Target{"b"})
	r.Remove("b")
	is.Equal(len(*names), 0)
}

// Registrations that expired during an outage are back within two seconds if their
// targets are alive.
func TestMissingTargetsAreKeptAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, names := newRegistrar()
		r.Replace(targets("a", "b", "c"), registrar.NormalRead)
		r.Replace(targets(), registrar.ReadAfterOutage)
		is.Equal(*names, []ids.Target{"a", "b", "c"})
		time.Sleep(time.Second)
		r.Put(registrar.Target{ID: "a"})
		r.Replace(targets("a"), registrar.NormalRead) // another full read in between
		is.Equal(*names, []ids.Target{"a", "b", "c"})
		r.Remove("c") // An explicit removal applies immediately.
		is.Equal(*names, []ids.Target{"a", "b"})
		time.Sleep(1100 * time.Millisecond)
		r.Expire()
		is.Equal(*names, []ids.Target{"a"})
	})
}

// names returns the known targets; those that are draining are marked.
func names(known *[]registrar.Target) []ids.Target {
	var all []ids.Target
	for _, t := range *known {
		if t.Draining {
			t.ID += " drains"
		}
		all = append(all, t.ID)
	}
	slices.Sort(all)
	return all
}

// afterRestore runs f after a restore of the store from a backup, in which a target
// that is draining is ready and a target that was removed is registered.
func afterRestore(t *testing.T, f func(is *is.I, r *registrar.Registrar, known *[]registrar.Target)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var known []registrar.Target
		r := &registrar.Registrar{OnChange: func(all []registrar.Target) { known = all }}
		drains := registrar.Target{ID: "a", StartMillis: 7, Sequence: 3}
		left := registrar.Target{ID: "left", StartMillis: 7, Sequence: 3}
		r.Replace([]registrar.Target{drains, left, {ID: "stays"}}, registrar.NormalRead)
		r.Put(registrar.Target{ID: "a", StartMillis: 7, Sequence: 4, Draining: true})
		r.Remove("left")
		r.Replace([]registrar.Target{drains, left}, registrar.ReadAfterRestore)
		is.Equal(names(&known), []ids.Target{"a drains", "stays"})
		f(is, r, &known)
	})
}

func TestRestoreDoesNotBringTargetsBack(t *testing.T) {
	afterRestore(t, func(is *is.I, r *registrar.Registrar, known *[]registrar.Target) {
		time.Sleep(3 * time.Second)
		r.Expire()
		is.Equal(names(known), []ids.Target{"a drains"}) // "stays" did not register again.
		r.Remove("left")                                 // Its registration expires.
		time.Sleep(10 * time.Second)
		r.Expire()
		is.Equal(names(known), []ids.Target{"a drains"})
	})
}

// A registration that is still there after the quarantine belongs to a live target,
// because it would have expired otherwise.
func TestRegistrationIsUsedAfterQuarantine(t *testing.T) {
	afterRestore(t, func(is *is.I, r *registrar.Registrar, known *[]registrar.Target) {
		r.Put(registrar.Target{ID: "stays"})
		time.Sleep(10 * time.Second)
		r.Expire()
		is.Equal(names(known), []ids.Target{"a drains", "left", "stays"})
	})
}

// A registration that is newer than the backup is used immediately, whether of the same
// run of the target or of the next one.
func TestNewerRegistrationIsUsedImmediately(t *testing.T) {
	afterRestore(t, func(is *is.I, r *registrar.Registrar, known *[]registrar.Target) {
		r.Put(registrar.Target{ID: "left", StartMillis: 7, Sequence: 4})
		r.Put(registrar.Target{ID: "a", StartMillis: 9, Sequence: 1})
		is.Equal(names(known), []ids.Target{"a", "left", "stays"})
	})
}
