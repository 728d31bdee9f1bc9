package attestor_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
)

// A copy of a request that may have run is neither sent nor refused, until it is forgotten.
func TestCopyOfRequestThatMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a attestor.Attestor
		k := attestor.NewKey("1", "/pay")
		first := a.Open(k)
		is.True(first.Begin())
		second := a.Open(k)
		is.True(!second.Begin()) // the first is in progress
		is.Equal(second.Status(http.StatusTooManyRequests), http.StatusBadGateway)
		is.Equal(second.Status(http.StatusNotFound), http.StatusNotFound)
		second.End()
		first.Add(false)
		first.End()
		time.Sleep(29 * time.Second)
		for range 3 {
			e := a.Open(k)
			is.True(!e.NotRun())
			is.True(!e.Begin())
			e.End()
		}
		other := a.Open(attestor.NewKey("1", "/other"))
		is.True(other.Begin())
		time.Sleep(time.Minute)
		e := a.Open(k)
		is.True(e.NotRun())
		is.True(e.Begin())
	})
}

// A request that was not sent may come again.
func TestRequestThatDidNotRunMayComeAgain(t *testing.T) {
	is := is.New(t)
	var a attestor.Attestor
	k := attestor.NewKey("1")
	for range 3 {
		e := a.Open(k)
		is.True(e.Begin())
		is.Equal(e.Status(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
		e.Add(true)
		e.End()
	}
}

// A refusal of a target is believed once for a request with its copies, and once for each
// address.
func TestRefusalIsBelievedOnce(t *testing.T) {
	is := is.New(t)
	var a attestor.Attestor
	k := attestor.NewKey("1")
	e := a.Open(k)
	is.True(e.Begin())
	is.True(e.Believe("one"))
	is.True(e.Believe("two"))
	is.True(!e.Believe("one"))
	e.Add(true)
	e.End()
	second := a.Open(k)
	is.True(second.Begin())
	is.True(!second.Believe("two"))
	is.True(!second.Believe("three"))
}

// Requests without an ID are not remembered, and the memory is bounded.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var a attestor.Attestor
	is.Equal(attestor.NewKey("", "/pay"), attestor.Key(0))
	for range 2 {
		e := a.Open(0)
		is.True(e.Begin())
		e.Add(false)
		e.End()
	}
	const requests = 400_000
	remembered := 0
	for i := range requests {
		e := a.Open(attestor.NewKey(fmt.Sprint(i)))
		is.True(e.Begin())
		e.Add(false)
		e.End()
	}
	for i := range requests {
		if e := a.Open(attestor.NewKey(fmt.Sprint(i))); !e.NotRun() {
			remembered++
		}
	}
	is.True(remembered <= 2*16*8192)
	last := a.Open(attestor.NewKey(fmt.Sprint(requests - 1)))
	is.True(!last.NotRun())
}
