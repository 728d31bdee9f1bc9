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

// The metrics and parameters of the series blocks.
const (
	blockJSONKB     = "document KB"
	blockDocumentKB = "decoded KB"
	blockSnapshotKB = "compiled KB"
	blockCompileMs  = "compile ms"
	blockFindNs     = "ns/Find"
	blockLookupNs   = "ns/Snapshot.Block"
	blockRanges     = "ranges"
	blockLookups    = 200_000
	blockSites      = 350
	// blockSeed makes all runs use the same blocks.
	blockSeed = 11
)

func blockMetrics() []string {
	return []string{blockJSONKB, blockDocumentKB, blockSnapshotKB, blockCompileMs, blockFindNs, blockLookupNs, blockRanges}
}

// measureBlocks compiles a document with n client blocks and measures look-ups of
// random addresses.
func measureBlocks(_ context.Context, _ Config, n int) (map[string]float64, error) {
	rng := rand.New(rand.NewPCG(blockSeed, uint64(n)))
	text, err := documentWithBlocks(rng, n)
	if err != nil {
		return nil, err
	}
	initialHeap := heapInUse()
	doc := &config.Document{}
	if err := json.Unmarshal(text, doc); err != nil {
		return nil, errs.New("decode the document: %v", err)
	}
	decodedHeap := heapInUse()
	began := time.Now()
	snap := config.NewSnapshot(1, doc)
	compileTime := time.Since(began)
	compiledHeap := heapInUse()
	findTime, ranges, err := measureFind(rng, doc.ClientBlocks)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, blockLookups)
	for i := range addresses {
		addresses[i] = randomAddress(rng).String()
	}
	began = time.Now()
	for _, a := range addresses {
		snap.ClientBlock(a)
	}
	lookupTime := time.Since(began)
	runtime.KeepAlive(text)
	return map[string]float64{
		blockJSONKB:     float64(len(text)) / 1024,
		blockDocumentKB: (float64(decodedHeap) - float64(initialHeap)) / 1024,
		blockSnapshotKB: (float64(compiledHeap) - float64(decodedHeap)) / 1024,
		blockCompileMs:  float64(compileTime.Microseconds()) / 1000,
		blockFindNs:     float64(findTime.Nanoseconds()) / blockLookups,
		blockLookupNs:   float64(lookupTime.Nanoseconds()) / blockLookups,
		blockRanges:     float64(ranges),
	}, nil
}

// documentWithBlocks returns the JSON of a document with n client blocks.
func documentWithBlocks(rng *rand.Rand, n int) ([]byte, error) {
	doc := baseSize().document()
	doc.ClientBlocks = clientBlocks(rng, n)
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, errs.New("encode the document: %v", err)
	}
	return text, nil
}

// measureFind returns the time of blockLookups look-ups of parsed addresses in a
// locator.Locator, and the number of its ranges.
func measureFind(rng *rand.Rand, blocks []config.ClientBlock) (time.Duration, int, error) {
	var prefixes []netip.Prefix
	for _, b := range blocks {
		p, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			return 0, 0, errs.New("parse client block %s: %v", b.Prefix, err)
		}
		prefixes = append(prefixes, p)
	}
	l := locator.New(prefixes)
	addresses := make([]netip.Addr, blockLookups)
	for i := range addresses {
		addresses[i] = randomAddress(rng)
	}
	began := time.Now()
	for _, a := range addresses {
		l.Find(a)
	}
	return time.Since(began), l.Ranges(), nil
}

// clientBlocks returns n blocks with prefix lengths from 16 to 24. Some contain
// others.
func clientBlocks(rng *rand.Rand, n int) []config.ClientBlock {
	all := make([]config.ClientBlock, 0, n)
	for i := range n {
		const shortest, lengths = 16, 9
		p := netip.PrefixFrom(randomAddress(rng), shortest+rng.IntN(lengths)).Masked()
		all = append(all, config.ClientBlock{
			Prefix: p.String(),
			Region: regionName(i % regionCount),
			Site:   fmt.Sprintf("site-%03d", i%blockSites),
		})
	}
	return all
}

func randomAddress(rng *rand.Rand) netip.Addr {
	v := rng.Uint32()
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}
