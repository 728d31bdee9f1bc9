package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestPickChoosesDistinctBuckets(t *testing.T) {
	is := is.New(t)
	for n := range 30 {
		for k := range 30 {
			got := Pick("crested", n, k)
			is.Equal(len(got), min(n, k))
			slices.Sort(got)
			is.Equal(len(slices.Compact(got)), min(n, k))
		}
	}
	is.Equal(len(Pick("a", 3, -1)), 0)
}

func TestPickSpreadsKeys(t *testing.T) {
	is := is.New(t)
	const buckets, keys = 12, 12000
	counts := make([]int, buckets)
	for i := range keys {
		counts[Pick(fmt.Sprint("ws", i), buckets, 1)[0]]++
	}
	for _, c := range counts {
		is.True(c > keys/buckets*8/10 && c < keys/buckets*12/10) // each bucket has its share within 20%
	}
}

func TestPickMovesFewKeysWhenABucketIsAdded(t *testing.T) {
	is := is.New(t)
	for i := range 1000 {
		key := fmt.Sprint("ws", i)
		before, after := Pick(key, 12, 1)[0], Pick(key, 13, 1)[0]
		is.True(before == after || after == 12) // a key only moves to the new bucket
	}
}

func TestSplitPartsAddUpToTotal(t *testing.T) {
	is := is.New(t)
	for total := range 40 {
		for n := 1; n < 15; n++ {
			sum := 0
			for _, p := range Split("till-3", total, n) {
				is.True(p == total/n || p == total/n+1)
				sum += p
			}
			is.Equal(sum, total)
		}
	}
}
