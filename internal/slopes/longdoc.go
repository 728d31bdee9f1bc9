package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The metrics of the series documents.
const (
	longJSONKB    = "document KB"
	firstApplyMs  = "first apply ms"
	secondApplyMs = "one more block ms"
	secondStoreKB = "one more: store KB/host"
	secondPeersKB = "one more: peers KB/host"
	secondCoreMs  = "one more: core ms/host"
)

func longDocumentMetrics() []string {
	return []string{longJSONKB, firstApplyMs, secondApplyMs, secondStoreKB, secondPeersKB, secondCoreMs}
}

// measureLongDocument applies a document with n client blocks to a running fleet,
// and then the same document with one more block.
func measureLongDocument(ctx context.Context, cfg Config, n int) (map[string]float64, error) {
	r, err := startFleet(ctx, cfg, baseSize())
	if err != nil {
		return nil, err
	}
	defer r.stop()
	length, first, err := r.applyBlocks(ctx, n, 1)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	idle := r.measureIdle(ctx, cfg.Idle)
	before := r.usage()
	_, second, err := r.applyBlocks(ctx, n+1, 2)
	if err != nil {
		return nil, err
	}
	time.Sleep(changeInterval)
	after := r.usage()
	hosts := float64(r.size.hosts)
	seconds := after.time.Sub(before.time).Seconds()
	return map[string]float64{
		longJSONKB:    float64(length) / 1024,
		firstApplyMs:  float64(first.Microseconds()) / 1000,
		secondApplyMs: float64(second.Microseconds()) / 1000,
		secondStoreKB: (float64(after.storeBytes-before.storeBytes)/hosts - idle[storeBytes]*seconds) / 1024,
		secondPeersKB: (float64(after.peerBytes-before.peerBytes)/hosts - idle[peerBytes]*seconds) / 1024,
		secondCoreMs:  (after.cpu-before.cpu).Seconds()*1000/hosts - idle[corePercent]*10*seconds,
	}, nil
}

// applyBlocks applies the fleet's document with n client blocks through the
// operators' API, as a change of revision base. It returns the document's length in
// bytes and the time until it is in force on all hosts.
func (r *measuredFleet) applyBlocks(ctx context.Context, n int, base ids.Revision) (int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	doc := &config.Document{}
	if err := json.Unmarshal(r.fleet.DocumentText, doc); err != nil {
		return 0, 0, errs.New("decode the fleet's document: %v", err)
	}
	for i := range n {
		doc.ClientBlocks = append(doc.ClientBlocks, config.ClientBlock{
			Prefix: fmt.Sprintf("10.%d.%d.0/24", i>>8, i&0xff),
			Region: regionName(i % regionCount),
			Site:   fmt.Sprintf("site-%03d", i%blockSites),
		})
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return 0, 0, errs.New("encode the document: %v", err)
	}
	began := time.Now()
	if _, err := r.fleet.OperatorsClient().Apply(ctx, text, base); err != nil {
		return 0, 0, err
	}
	if err := r.waitForRevision(ctx, base+1); err != nil {
		return 0, 0, err
	}
	return len(text), time.Since(began), nil
}
