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

// The names of what is measured of long documents on a whole fleet.
const (
	longDocumentKB = "document KB"
	firstMs        = "first apply ms"
	againMs        = "one more block ms"
	againStoreKB   = "one more: store KB/host"
	againPeersKB   = "one more: peers KB/host"
	againCore      = "one more: core ms/host"
)

func longMetrics() []string {
	return []string{longDocumentKB, firstMs, againMs, againStoreKB, againPeersKB, againCore}
}

// measureLong applies a document with n client blocks to a running fleet, and
// then the same with one block more.
func measureLong(ctx context.Context, cfg Config, n int) (map[string]float64, error) {
	r, err := startRun(ctx, cfg, baseShape())
	if err != nil {
		return nil, err
	}
	defer r.stop()
	text, first, err := r.applyBlocks(ctx, n, 1)
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	rest := r.atRest(ctx, cfg.Idle)
	before := r.usage()
	_, again, err := r.applyBlocks(ctx, n+1, 2)
	if err != nil {
		return nil, err
	}
	time.Sleep(changePause)
	after := r.usage()
	hosts := float64(r.shape.hosts)
	seconds := after.at.Sub(before.at).Seconds()
	return map[string]float64{
		longDocumentKB: float64(text) / 1024,
		firstMs:        float64(first.Microseconds()) / 1000,
		againMs:        float64(again.Microseconds()) / 1000,
		againStoreKB:   (float64(after.store-before.store)/hosts - rest[storeBytes]*seconds) / 1024,
		againPeersKB:   (float64(after.peers-before.peers)/hosts - rest[peerBytes]*seconds) / 1024,
		againCore:      (after.cpu-before.cpu).Seconds()*1000/hosts - rest[coreShare]*10*seconds,
	}, nil
}

// applyBlocks applies the fleet's document with n client blocks as an operator
// does, waits until all hosts have it in force, and returns its length.
func (r *run) applyBlocks(ctx context.Context, n int, base ids.Revision) (int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	doc := &config.Document{}
	if err := json.Unmarshal(r.fleet.DocumentText, doc); err != nil {
		return 0, 0, errs.New("read the document back: %v", err)
	}
	for i := range n {
		doc.ClientBlocks = append(doc.ClientBlocks, config.ClientBlock{
			Prefix: fmt.Sprintf("10.%d.%d.0/24", i>>8, i&0xff),
			Region: region(i % regionCount),
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
	if err := r.inForce(ctx, base+1); err != nil {
		return 0, 0, err
	}
	return len(text), time.Since(began), nil
}
