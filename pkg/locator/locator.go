// Package locator finds the longest prefix that contains an IP address. Callers
// build an immutable Locator with New and look addresses up with Find.
package locator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

// NotFound is the result of Find for an address in none of the prefixes.
const NotFound = -1

// Locator maps addresses to the indexes of prefixes. It is immutable and safe for
// concurrent use. The zero value has no prefixes.
type Locator struct {
	// starts holds the first address of each range, in order, and prefixIndexes its
	// prefix or NotFound. A range ends where the next one begins.
	starts        []key
	prefixIndexes []int32
}

// key is an address as a 128-bit number. IPv4 addresses are mapped to IPv6.
type key struct{ hi, lo uint64 }

func newKey(a netip.Addr) key {
	b := a.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (k key) compare(o key) int {
	return cmp.Or(cmp.Compare(k.hi, o.hi), cmp.Compare(k.lo, o.lo))
}

// next returns the following address, and false after the last one.
func (k key) next() (key, bool) {
	if k.lo++; k.lo == 0 {
		k.hi++
	}
	return k, k != key{}
}

// addressBlock is the address range of one prefix, with the prefix's length in
// bits and its index.
type addressBlock struct {
	first, last key
	bits        int
	index       int32
}

// New returns a Locator for the prefixes. If prefixes are equal, the last one
// wins.
func New(prefixes []netip.Prefix) *Locator {
	blocks := make([]addressBlock, 0, len(prefixes))
	for i, p := range prefixes {
		blocks = append(blocks, newBlock(p.Masked(), int32(i)))
	}
	slices.SortStableFunc(blocks, func(a, b addressBlock) int {
		return cmp.Or(a.first.compare(b.first), cmp.Compare(a.bits, b.bits))
	})
	l := &Locator{}
	var open []addressBlock
	for _, b := range blocks {
		open = l.closeBefore(open, b.first)
		l.addRange(b.first, b.index)
		open = append(open, b)
	}
	for len(open) > 0 {
		open = l.closeLast(open)
	}
	return l
}

func newBlock(p netip.Prefix, index int32) addressBlock {
	bits := p.Bits()
	if p.Addr().Is4() {
		bits += 96 // The length of ::ffff:0:0/96, which maps IPv4 to IPv6.
	}
	first := newKey(p.Addr())
	last := first
	switch {
	case bits <= 64:
		last.hi |= ^uint64(0) >> bits
		last.lo = ^uint64(0)
	default:
		last.lo |= ^uint64(0) >> (bits - 64)
	}
	return addressBlock{first: first, last: last, bits: bits, index: index}
}

// closeBefore closes the open blocks that end before k.
func (l *Locator) closeBefore(open []addressBlock, k key) []addressBlock {
	for len(open) > 0 && open[len(open)-1].last.compare(k) < 0 {
		open = l.closeLast(open)
	}
	return open
}

// closeLast closes the innermost open block. The addresses after it belong to the
// block that encloses it.
func (l *Locator) closeLast(open []addressBlock) []addressBlock {
	inner := open[len(open)-1]
	open = open[:len(open)-1]
	enclosing := int32(NotFound)
	if len(open) > 0 {
		enclosing = open[len(open)-1].index
	}
	if after, ok := inner.last.next(); ok {
		l.addRange(after, enclosing)
	}
	return open
}

// addRange begins a range. It replaces the last range if both start at the same
// address.
func (l *Locator) addRange(start key, prefixIndex int32) {
	if n := len(l.starts); n > 0 && l.starts[n-1] == start {
		l.prefixIndexes[n-1] = prefixIndex
		return
	}
	l.starts = append(l.starts, start)
	l.prefixIndexes = append(l.prefixIndexes, prefixIndex)
}

// Find returns the index of the longest prefix that contains the address, or
// NotFound.
func (l *Locator) Find(a netip.Addr) int {
	k := newKey(a)
	i := sort.Search(len(l.starts), func(i int) bool { return l.starts[i].compare(k) > 0 })
	if i == 0 {
		return NotFound
	}
	return int(l.prefixIndexes[i-1])
}

// Ranges returns the number of ranges into which the prefixes divide the
// addresses.
func (l *Locator) Ranges() int { return len(l.starts) }
