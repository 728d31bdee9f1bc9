package entryhost

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// peerClient sends requests to the peer at an address. Its errors are those of
// the pool or of gRPC.
type peerClient struct {
	pool *peers.Pool
}

// Promise implements leaseholder.Peers.
func (c *peerClient) Promise(ctx context.Context, address string, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Promise(ctx, r)
}

// Fence implements leaseholder.Peers.
func (c *peerClient) Fence(ctx context.Context, address string, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Fence(ctx, r)
}

// Fetch implements leaseholder.Peers.
func (c *peerClient) Fetch(ctx context.Context, address string, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Fetch(ctx, r)
}

// Confirm sends a stored configuration to a peer.
func (c *peerClient) Confirm(ctx context.Context, address string, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Confirm(ctx, r)
}

// Exchange runs one gossip exchange with a peer.
func (c *peerClient) Exchange(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Exchange(ctx, r)
}

// Copy implements replicator.PeerClient.
func (c *peerClient) Copy(ctx context.Context, address string, r *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Copy(ctx, r)
}

// Recall implements replicator.PeerClient.
func (c *peerClient) Recall(ctx context.Context, address string, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	p, err := c.pool.Peer(address)
	if err != nil {
		return nil, err
	}
	return p.Recall(ctx, r)
}

// parseDocument parses and validates a configuration document.
func parseDocument(text []byte) (*config.Document, error) { return parser.Parse(text) }
