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

// Nodes returns the nodes of all regions, running or not.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.nodes...)
}

// StartNode starts a new instance of a node's entry host. The node must not be
// running. It does not wait until the host is ready.
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
	n.running = true
	return nil
}

// KillNode ends a node's instance as if its process had died: its connections are
// reset. It does nothing if the node is not running.
func (f *Fleet) KillNode(n *Node) {
	f.mu.Lock()
	wasRunning := n.running
	n.running = false
	f.mu.Unlock()
	if !wasRunning {
		return
	}
	f.Network.Kill(n.IP())
	n.Host.Kill()
}

// StopNode stops a running node's instance gracefully and returns its error.
func (f *Fleet) StopNode(ctx context.Context, n *Node) error {
	f.mu.Lock()
	n.running = false
	f.mu.Unlock()
	return n.Host.Stop(ctx)
}

// Running reports whether the node was started and neither killed nor stopped since.
func (f *Fleet) Running(n *Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.running
}

// Start stores the document as the first revision, starts all entry hosts and
// waits until each is ready or ctx ends.
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

// StoreDocument writes a document straight to the store as revision rev, without an
// entry host. The store must hold revision rev-1.
func (f *Fleet) StoreDocument(ctx context.Context, rev ids.Revision, text []byte) error {
	head, err := roller.Head{Revision: rev, Document: string(text), WriteID: ids.NewToken(keyBytes)}.Encode()
	if err != nil {
		return err
	}
	_, err = f.Store.CompareAndSwap(ctx, roller.HeadKey, platform.Version(rev-1), head)
	return err
}

// readyPollInterval is the time between two checks whether the hosts are ready.
const readyPollInterval = 50 * time.Millisecond

// WaitReady returns nil once all running hosts are ready. If ctx ends before, the
// error names a host that is not ready and the reason.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		waiting := ""
		for _, n := range f.Nodes() {
			if !f.Running(n) {
				continue
			}
			if notReady := n.Host.Ready(); notReady != nil {
				waiting = n.Config.CallersAddress + ": " + notReady.Error()
			}
		}
		if waiting == "" {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errs.New("entry host is not ready: %s", waiting)
		}
	}
}
