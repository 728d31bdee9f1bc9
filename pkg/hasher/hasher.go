// Package hasher makes short names for what hosts tell each other of, alike on every
// host.
package hasher

import "hash/fnv"

// Short returns a short name for a name. Two names have the same one with a chance
// of one in four thousand million.
func Sum32(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // It never fails.
	return h.Sum32()
}
