// Package hasher computes the hashes by which hosts identify targets, workspaces and
// other hosts in the messages between them.
package hasher

import "hash/fnv"

// Sum32 returns the 32-bit FNV-1a hash of name, which is the same on all hosts. Two
// names have the same hash with a probability of 2^-32.
func Sum32(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Write never returns an error.
	return h.Sum32()
}
