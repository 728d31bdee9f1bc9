// Package locator finds the longest prefix that holds an address.
package locator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

// None is the index of an address that no prefix holds.
const NotFound = -1

// Locator maps addresses to the indexes of prefixes. It is immutable. The zero
// value holds no prefix.
type Locator struct {
	// starts and owners list the ranges by first address; a range ends where the
	// next begins.
	starts []key
	owners []int32
}

// key is an address as a number of 128 bits. IPv4 addresses are mapped to IPv6.
type key struct{ hi, lo uint64 }

func newKey(a netip.Addr) key {
	b := a.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (k key) compare(o key) int {
	return cmp.Or(cmp.Compare(k.hi, o.hi), cmp.Compare(k.lo, o.lo))
}

// next returns the number after k, and whether there is one.
func (k key) next() (key, bool) {
	if k.lo++; k.lo == 0 {
		k.hi++
	}
	return k, k != key{}
}

// block is one prefix as a range with its index and length in bits.
type block struct {
	first, last key
	bits        int
	index       int32
}

// New returns a Locator of the prefixes; Find returns their indexes. Of equal
// prefixes the last one counts.
func New(prefixes []netip.Prefix) *Locator {
	blocks := make([]block, 0, len(prefixes))
	for i, p := range prefixes {
		blocks = append(blocks, newBlock(p.Masked(), int32(i)))
	}
	slices.SortStableFunc(blocks, func(a, b block) int {
		return cmp.Or(a.first.compare(b.first), cmp.Compare(a.bits, b.bits))
	})
	l := &Locator{}
	var open []block
	for _, b := range blocks {
		open = l.closeBefore(open, b.first)
		l.add(b.first, b.index)
		open = append(open, b)
	}
	for len(open) > 0 {
		open = l.closeLast(open)
	}
	return l
}

func newBlock(p netip.Prefix, index int32) block {
	bits := p.Bits()
	if p.Addr().Is4() {
		bits += 96 // The length of the prefix that maps IPv4 into IPv6.
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
	return block{first: first, last: last, bits: bits, index: index}
}

// closeBefore ends the open blocks that lie wholly before k.
func (l *Locator) closeBefore(open []block, k key) []block {
	for len(open) > 0 && open[len(open)-1].last.compare(k) < 0 {
		open = l.closeLast(open)
	}
	return open
}

// closeLast ends the innermost open block; the one around it goes on behind it.
func (l *Locator) closeLast(open []block) []block {
	inner := open[len(open)-1]
	open = open[:len(open)-1]
	owner := int32(NotFound)
	if len(open) > 0 {
		owner = open[len(open)-1].index
	}
	if after, ok := inner.last.next(); ok {
		l.add(after, owner)
	}
	return open
}

// add begins a range. One that begins where the last does replaces it.
func (l *Locator) add(start key, owner int32) {
	if n := len(l.starts); n > 0 && l.starts[n-1] == start {
		l.owners[n-1] = owner
		return
	}
	l.starts = append(l.starts, start)
	l.owners = append(l.owners, owner)
}

// Find returns the index of the longest prefix that holds the address, or None.
func (l *Locator) Find(a netip.Addr) int {
	k := newKey(a)
	i := sort.Search(len(l.starts), func(i int) bool { return l.starts[i].compare(k) > 0 })
	if i == 0 {
		return NotFound
	}
	return int(l.owners[i-1])
}

// Ranges returns the number of ranges that the prefixes make.
func (l *Locator) Ranges() int { return len(l.starts) }
