package locator_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/locator"
)

// longestPrefix is the reference implementation: a scan of all prefixes.
func longestPrefix(prefixes []netip.Prefix, a netip.Addr) int {
	best := locator.NotFound
	for i, p := range prefixes {
		if p.Contains(a) && (best == locator.NotFound || p.Bits() >= prefixes[best].Bits()) {
			best = i
		}
	}
	return best
}

func randomAddr(r *rand.Rand, mask uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], r.Uint32()&mask)
	return netip.AddrFrom4(b)
}

func TestFindRandomised(t *testing.T) {
	r := seeds.NewRand(t)
	for range 200 {
		var prefixes []netip.Prefix
		for range r.IntN(40) {
			prefixes = append(prefixes, netip.PrefixFrom(randomAddr(r, 0xc0e0f0ff), r.IntN(33)).Masked())
		}
		l := locator.New(prefixes)
		for range 200 {
			a := randomAddr(r, 0xc0e0f0ff)
			got, want := l.Find(a), longestPrefix(prefixes, a)
			if got == want || (got >= 0 && want >= 0 && prefixes[got] == prefixes[want]) {
				continue
			}
			t.Fatalf("%v in %v: got %d, want %d", a, prefixes, got, want)
		}
	}
}

func TestFindKeepsFamiliesApart(t *testing.T) {
	l := locator.New([]netip.Prefix{
		netip.MustParsePrefix("0.0.0.0/0"),
		netip.MustParsePrefix("2001:db8::/32"),
		netip.MustParsePrefix("255.255.255.255/32"),
	})
	for address, want := range map[string]int{
		"10.1.2.3":        0,
		"2001:db8::1":     1,
		"2001:db9::1":     locator.NotFound,
		"255.255.255.255": 2,
		"::1":             locator.NotFound,
	} {
		if got := l.Find(netip.MustParseAddr(address)); got != want {
			t.Errorf("%s: got %d, want %d", address, got, want)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	const blocks = 240_000
	r := rand.New(rand.NewPCG(1, 1))
	prefixes := make([]netip.Prefix, 0, blocks)
	for range blocks {
		prefixes = append(prefixes, netip.PrefixFrom(randomAddr(r, 0xffffffff), 16+r.IntN(9)))
	}
	l := locator.New(prefixes)
	addresses := make([]netip.Addr, 1024)
	for i := range addresses {
		addresses[i] = randomAddr(r, 0xffffffff)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.Find(addresses[i%len(addresses)])
		i++
	}
}
