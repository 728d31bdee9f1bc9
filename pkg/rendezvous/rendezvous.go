// Package rendezvous assigns keys to numbered buckets by rendezvous (highest
// random weight) hashing. Every host computes the same assignment without
// communication, and changing the number of buckets moves few keys.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
)

// Pick returns the min(k, n) buckets of 0 to n-1 with the highest score for key,
// highest first. It returns none if k or n is not positive.
func Pick(key string, n, k int) []int {
	if n <= 0 || k <= 0 {
		return nil
	}
	seed := hash(key)
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		if c := cmp.Compare(score(seed, b), score(seed, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return all[:min(k, n)]
}

// Split divides total over the buckets 0 to n-1: total/n for each, and one more
// for the buckets that Pick returns for the remainder. The parts add up to total,
// which must not be negative. It returns nil if n is not positive.
func Split(key string, total, n int) []int {
	if n <= 0 {
		return nil
	}
	parts := make([]int, n)
	for i := range parts {
		parts[i] = total / n
	}
	for _, i := range Pick(key, n, total%n) {
		parts[i]++
	}
	return parts
}

func hash(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // It never returns an error.
	return h.Sum64()
}

// score mixes the key's hash with a bucket's number by the finalizer of
// SplitMix64, so that all bits of both affect the result.
func score(seed uint64, bucket int) uint64 {
	const increment = 0x9e3779b97f4a7c15
	x := seed ^ hasher.Mix(uint64(bucket)*increment+increment)
	return hasher.Mix(x)
}
