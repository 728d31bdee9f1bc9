package chunker

import (
	"crypto/sha256"
	"encoding/hex"
)

// Sizes of chunks in bytes. The mean size in long texts is about minChunkBytes +
// cutMask + 1 = 64 KiB.
const (
	minChunkBytes = 32 << 10
	maxChunkBytes = 256 << 10
	cutMask       = 32<<10 - 1
)

// Hash is the SHA-256 of a chunk, as 64 hexadecimal digits.
type Hash string

// HashOf returns the hash of a chunk.
func HashOf(chunk []byte) Hash {
	sum := sha256.Sum256(chunk)
	return Hash(hex.EncodeToString(sum[:]))
}

// Split divides a text into chunks by content-defined chunking: a boundary depends
// only on the bytes just before it, so a small change of a long text changes one or
// two chunks.
func Split(text []byte) [][]byte {
	var all [][]byte
	for len(text) > 0 {
		n := chunkLength(text)
		all = append(all, text[:n])
		text = text[n:]
	}
	return all
}

// chunkLength returns the length of the first chunk. The chunk ends after
// minChunkBytes at the first byte where the upper cutBits bits of a rolling hash of
// the last 64 bytes are zero, at the latest after maxChunkBytes.
func chunkLength(text []byte) int {
	if len(text) <= minChunkBytes {
		return len(text)
	}
	var h uint64
	for i := minChunkBytes; i < min(len(text), maxChunkBytes); i++ {
		h = h<<1 + mixByte(text[i])
		// The uppermost bit depends on the last 64 bytes, lower bits on fewer.
		if h>>(64-cutBits)&cutMask == 0 {
			return i + 1
		}
	}
	return min(len(text), maxChunkBytes)
}

// cutBits is the number of bits of cutMask.
const cutBits = 15

// mixByte maps a byte to 64 pseudo-random bits with the finaliser of SplitMix64.
func mixByte(b byte) uint64 {
	z := (uint64(b) + 1) * 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
