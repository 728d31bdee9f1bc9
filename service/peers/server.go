package peers

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Voter votes on serving leases and the reclaim of seats. *leaseholder.Leaseholder
// implements it.
type Voter interface {
	Promise(ctx context.Context, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error)
	Fence(ctx context.Context, r *peerpb.FenceRequest) (*peerpb.FenceReply, error)
}

// Roller holds the newest configuration and seat table. *roller.Roller implements
// it.
type Roller interface {
	Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error)
	Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error)
}

// Gossiper exchanges the states of hosts. *gossiper.Gossiper implements it.
type Gossiper interface {
	Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
}

// Lender lends parts of rate limits and slots, and takes them back.
type Lender interface {
	Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Return(ctx context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error)
}

// Relayer runs requests that other hosts received from their callers.
type Relayer interface {
	Relay(stream grpc.BidiStreamingServer[peerpb.RelayFrame, peerpb.RelayFrame]) error
}

// Backup stores replicas of the outcomes of other hosts' idempotency keys.
// *replicaserver.Server implements it.
type Backup interface {
	Copy(ctx context.Context, r *peerpb.CopyRequest) (*peerpb.CopyReply, error)
	Recall(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error)
}

// Server serves calls of other entry hosts. Calls to a component that is nil fail
// with the code Unimplemented. Start must be called before the other methods, once.
type Server struct {
	peerpb.UnimplementedPeerServer

	Voter    Voter
	Roller   Roller
	Gossiper Gossiper
	Lender   Lender
	Relayer  Relayer
	Backup   Backup

	server *grpc.Server
	done   chan struct{}
}

// Start serves on l in the background until Drain or Stop.
func (s *Server) Start(l net.Listener) {
	s.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	)
	s.done = make(chan struct{})
	peerpb.RegisterPeerServer(s.server, s)
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l) // returns when Drain or Stop closes the listener
	}()
}

// Done returns a channel that is closed once the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Drain refuses new calls, waits for those in flight until ctx ends, and stops the
// server.
func (s *Server) Drain(ctx context.Context) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.server.GracefulStop()
	}()
	select {
	case <-drained:
	case <-ctx.Done():
		s.server.Stop()
		<-drained
	}
	<-s.done
}

// Stop aborts all calls and stops the server.
func (s *Server) Stop() {
	s.server.Stop()
	<-s.done
}

// Promise implements peerpb.PeerServer.
func (s *Server) Promise(ctx context.Context, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	if s.Voter == nil {
		return nil, unimplemented("Promise")
	}
	return s.Voter.Promise(ctx, r)
}

// Fence implements peerpb.PeerServer.
func (s *Server) Fence(ctx context.Context, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	if s.Voter == nil {
		return nil, unimplemented("Fence")
	}
	return s.Voter.Fence(ctx, r)
}

// Fetch implements peerpb.PeerServer.
func (s *Server) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	if s.Roller == nil {
		return nil, unimplemented("Fetch")
	}
	return s.Roller.Fetch(ctx, r)
}

// Confirm implements peerpb.PeerServer.
func (s *Server) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	if s.Roller == nil {
		return nil, unimplemented("Confirm")
	}
	return s.Roller.Confirm(ctx, r)
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if s.Gossiper == nil {
		return nil, unimplemented("Exchange")
	}
	return s.Gossiper.Exchange(ctx, r)
}

// Borrow implements peerpb.PeerServer.
func (s *Server) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if s.Lender == nil {
		return nil, unimplemented("Borrow")
	}
	return s.Lender.Borrow(ctx, r)
}

// Return implements peerpb.PeerServer.
func (s *Server) Return(ctx context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	if s.Lender == nil {
		return nil, unimplemented("Return")
	}
	return s.Lender.Return(ctx, r)
}

// Relay implements peerpb.PeerServer.
func (s *Server) Relay(stream grpc.BidiStreamingServer[peerpb.RelayFrame, peerpb.RelayFrame]) error {
	if s.Relayer == nil {
		return unimplemented("Relay")
	}
	return s.Relayer.Relay(stream)
}

// Copy implements peerpb.PeerServer.
func (s *Server) Copy(ctx context.Context, r *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	if s.Backup == nil {
		return nil, unimplemented("Copy")
	}
	return s.Backup.Copy(ctx, r)
}

// Recall implements peerpb.PeerServer.
func (s *Server) Recall(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	if s.Backup == nil {
		return nil, unimplemented("Recall")
	}
	return s.Backup.Recall(ctx, r)
}

func unimplemented(method string) error {
	return status.Errorf(codes.Unimplemented, "%s is not served here", method)
}
