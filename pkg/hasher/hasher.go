// Package hasher computes the hashes by which hosts identify targets, workspaces and
// other hosts in the messages between them, and mixes such hashes.
package hasher

import "hash/fnv"

// Sum32 returns the 32-bit FNV-1a hash of name, which is the same on all hosts. Two
// names have the same hash with a probability of 2^-32.
func Sum32(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Write never returns an error.
	return h.Sum32()
}

// Mix returns a number whose bits each depend on all bits of x. It is the finaliser of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// MixPair returns a number whose bits each depend on all bits of a and b.
func MixPair(a, b uint32) uint64 {
	x := uint64(a)<<32 | uint64(b)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Fraction returns a number from 0 to 1, less than 1, in proportion to x.
func Fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
