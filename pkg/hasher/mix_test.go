package hasher_test

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
)

// Guards against a change of the mixers, by which hosts of different builds would place objects
// and keys differently.
func TestMixersStayTheSame(t *testing.T) {
	is := is.New(t)
	is.Equal(hasher.Mix(0x9e3779b97f4a7c15), uint64(0xe220a8397b1dcdaf)) // SplitMix64, seed 0
	is.Equal(hasher.MixPair(0, 0), uint64(0))
	is.True(hasher.MixPair(1, 2) != hasher.MixPair(2, 1))
	is.Equal(hasher.Fraction(0), 0.0)
	is.True(hasher.Fraction(1<<64-1) < 1)
}
