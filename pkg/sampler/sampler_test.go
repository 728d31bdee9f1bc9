package sampler_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/sampler"
)

func TestPercentilesAgainstSortedValues(t *testing.T) {
	is := is.New(t)
	src := rand.New(rand.NewPCG(1, 1))
	a, b := &sampler.Sampler{}, &sampler.Sampler{}
	var values []int64
	for range 20_000 {
		v := int64(src.ExpFloat64() * 5000)
		values = append(values, v)
		if src.IntN(3) == 0 {
			a.Update(v)
			continue
		}
		b.Update(v)
	}
	slices.Sort(values)
	sum := a.Distribution().Add(b.Distribution())
	is.Equal(sum.Count, int64(len(values)))
	is.Equal(sum.MaxUs, values[len(values)-1])
	for _, p := range []float64{0.001, 0.5, 0.9, 0.99, 0.999, 1} {
		exact := values[max(int(p*float64(len(values)))-1, 0)]
		got := sum.PercentileUs(p)
		if got < exact || float64(got) > float64(exact)*(1+1.0/16)+1 {
			t.Errorf("p%g = %d, exact value %d", p*100, got, exact)
		}
	}
}

func TestOutOfRangeValuesAreCounted(t *testing.T) {
	is := is.New(t)
	s := &sampler.Sampler{}
	s.Update(-5)
	s.Update(1 << 62)
	is.Equal(s.Count(), int64(2))
	is.Equal(s.Min(), int64(0))
	is.Equal(s.Max(), int64(1<<62))
	is.Equal((&sampler.Sampler{}).Percentile(0.5), 0.0)
}

func TestConcurrentUpdatesAreCounted(t *testing.T) {
	is := is.New(t)
	s := &sampler.Sampler{}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for v := range int64(1000) {
				s.Update(v)
			}
		})
	}
	wg.Wait()
	is.Equal(s.Count(), int64(8000))
	is.Equal(s.Sum(), int64(8*999*1000/2))
	is.Equal(s.Snapshot().Size(), 1024)
}
