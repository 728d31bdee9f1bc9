package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// toldLife is how long what a host told counts while it says nothing more.
const toldLife = 1500 * time.Millisecond

// word is what one scope told last.
type word struct {
	at     time.Time
	counts map[ids.Target]int
}

// The backlog of a target is what all scopes told last, whatever came in which
// order, lapsed, or concerned targets that came and went.
func TestRandomisedBacklogIsTheSumOfWhatHostsTold(t *testing.T) {
	rnd := seeds.Source(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPlacer(3, "e1")
		for i := range all {
			all[i].Slots = 1000 // Nobody waits.
		}
		words := make(map[string]word)
		for range 2000 {
			time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
			scope := fmt.Sprint(rnd.IntN(40))
			w := word{time.Now(), make(map[ids.Target]int)}
			var running []balancer.InFlight
			for _, x := range all {
				if n := rnd.IntN(4); n > 0 {
					w.counts[x.ID] = n
					running = append(running, balancer.InFlight{Target: balancer.HashTarget(x.ID), Count: n})
				}
			}
			words[scope] = w
			p.Merge(ids.HostGroup(scope), running, nil)
			if rnd.IntN(10) == 0 {
				p.SetTargets(all[rnd.IntN(len(all)):])
			}
			p.SetTargets(all)
			c := pick(t, p, balancer.Request{Service: "s", Objective: time.Hour})
			c.Done(balancer.Result{})
			is.Equal(int(c.Backlog), sum(words, c.Target))
		}
	})
}

// sum returns what the scopes that still count told of a target.
func sum(words map[string]word, id ids.Target) int {
	total := 0
	for _, w := range words {
		if time.Since(w.at) < toldLife {
			total += w.counts[id]
		}
	}
	return total
}

// An object's holders are found again after its targets were forgotten and came back
// as others.
func TestObjectsAreFoundWhereTheyWereServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPlacer(3, "e1", "w1")
		rnd := rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			object := fmt.Sprint(rnd.IntN(300))
			w := want(object)
			w.BodyKiB = 1 // Targets that are new are not preferred.
			first := pick(t, p, w)
			first.Done(balancer.Result{Answered: true})
			again := pick(t, p, w)
			again.Done(balancer.Result{Answered: true})
			is.True(again.Warm)
			is.Equal(again.Target, first.Target)
			if rnd.IntN(20) == 0 {
				all[rnd.IntN(len(all))].StartMillis++
				p.SetTargets(all)
			}
		}
	})
}
