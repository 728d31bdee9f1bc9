package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/locator"
)

// The names of what is measured of client blocks.
const (
	blockTextKB     = "document KB"
	blockDocumentKB = "decoded KB"
	blockSnapshotKB = "compiled KB"
	blockCompileMs  = "compile ms"
	blockFindNs     = "ns/Find"
	blockLookupNs   = "ns/Snapshot.Block"
	blockRanges     = "ranges"
	blockLoops      = 200_000
	blockSites      = 350
	// blockSeed makes the blocks of every run the same.
	blockSeed = 11
)

func blockMetrics() []string {
	return []string{blockTextKB, blockDocumentKB, blockSnapshotKB, blockCompileMs, blockFindNs, blockLookupNs, blockRanges}
}

// measureBlocks compiles a document with n client blocks and looks addresses up.
func measureBlocks(_ context.Context, _ Config, n int) (map[string]float64, error) {
	rng := rand.New(rand.NewPCG(blockSeed, uint64(n)))
	text, err := blockDocument(rng, n)
	if err != nil {
		return nil, err
	}
	empty := heap()
	doc := &config.Document{}
	if err := json.Unmarshal(text, doc); err != nil {
		return nil, errs.New("decode the document: %v", err)
	}
	decoded := heap()
	began := time.Now()
	snap := config.NewSnapshot(1, doc)
	compile := time.Since(began)
	compiled := heap()
	find, ranges, err := findTime(rng, doc.ClientBlocks)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, blockLoops)
	for i := range addresses {
		addresses[i] = randomAddress(rng).String()
	}
	began = time.Now()
	for _, a := range addresses {
		snap.ClientBlock(a)
	}
	look := time.Since(began)
	runtime.KeepAlive(text)
	return map[string]float64{
		blockTextKB:     float64(len(text)) / 1024,
		blockDocumentKB: (float64(decoded) - float64(empty)) / 1024,
		blockSnapshotKB: (float64(compiled) - float64(decoded)) / 1024,
		blockCompileMs:  float64(compile.Microseconds()) / 1000,
		blockFindNs:     float64(find.Nanoseconds()) / blockLoops,
		blockLookupNs:   float64(look.Nanoseconds()) / blockLoops,
		blockRanges:     float64(ranges),
	}, nil
}

// blockDocument returns the text of a document with n client blocks.
func blockDocument(rng *rand.Rand, n int) ([]byte, error) {
	doc := baseShape().document()
	doc.ClientBlocks = clientBlocks(rng, n)
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, errs.New("encode the document: %v", err)
	}
	return text, nil
}

// findTime returns the time of blockLoops look-ups of parsed addresses.
func findTime(rng *rand.Rand, blocks []config.ClientBlock) (time.Duration, int, error) {
	var prefixes []netip.Prefix
	for _, b := range blocks {
		p, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			return 0, 0, errs.New("client block %s: %v", b.Prefix, err)
		}
		prefixes = append(prefixes, p)
	}
	l := locator.New(prefixes)
	addresses := make([]netip.Addr, blockLoops)
	for i := range addresses {
		addresses[i] = randomAddress(rng)
	}
	began := time.Now()
	for _, a := range addresses {
		l.Find(a)
	}
	return time.Since(began), l.Ranges(), nil
}

// clientBlocks returns n blocks of mixed lengths, some inside others.
func clientBlocks(rng *rand.Rand, n int) []config.ClientBlock {
	all := make([]config.ClientBlock, 0, n)
	for i := range n {
		const shortest, lengths = 16, 9
		p := netip.PrefixFrom(randomAddress(rng), shortest+rng.IntN(lengths)).Masked()
		all = append(all, config.ClientBlock{
			Prefix: p.String(),
			Region: region(i % regionCount),
			Site:   fmt.Sprintf("site-%03d", i%blockSites),
		})
	}
	return all
}

func randomAddress(rng *rand.Rand) netip.Addr {
	v := rng.Uint32()
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}
