package fleet

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/service/entryhost"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// Nodes returns the places of the entry hosts.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.nodes...)
}

// StartNode starts a new run of an entry host.
func (f *Fleet) StartNode(n *Node) error {
	h, err := entryhost.New(n.Config)
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.Host = h
	n.up = true
	return nil
}

// KillNode ends a node's run as when its process dies.
func (f *Fleet) KillNode(n *Node) {
	f.mu.Lock()
	up := n.up
	n.up = false
	f.mu.Unlock()
	if !up {
		return
	}
	f.Network.Kill(n.IP())
	n.Host.Kill()
}

// StopNode ends a node's run gracefully.
func (f *Fleet) StopNode(ctx context.Context, n *Node) error {
	f.mu.Lock()
	n.up = false
	f.mu.Unlock()
	return n.Host.Stop(ctx)
}

// Up reports whether the node runs.
func (f *Fleet) Running(n *Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.up
}

// Start stores the document as the first revision, starts all entry hosts and
// waits until each is ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StoreDocument(ctx, 1, f.DocumentText); err != nil {
		return err
	}
	for _, n := range f.Nodes() {
		if err := f.StartNode(n); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// StoreDocument writes a document to the store as a revision, past all hosts.
func (f *Fleet) StoreDocument(ctx context.Context, rev ids.Revision, text []byte) error {
	head, err := roller.Head{Revision: rev, Document: string(text), WriteID: ids.NewToken(keyBytes)}.Encode()
	if err != nil {
		return err
	}
	_, err = f.Store.CompareAndSwap(ctx, roller.HeadKey, platform.Version(rev-1), head)
	return err
}

// readyPoll is the time between two looks at whether hosts are ready.
const readyPoll = 50 * time.Millisecond

// WaitReady returns once all running hosts are ready, or with ctx's error.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		waiting := ""
		for _, n := range f.Nodes() {
			if !f.Running(n) {
				continue
			}
			if rf := n.Host.Ready(); rf != nil {
				waiting = n.Config.CallersAddress + ": " + rf.Error()
			}
		}
		if waiting == "" {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errs.New("not ready: %s", waiting)
		}
	}
}
