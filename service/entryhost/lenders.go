package entryhost

import (
	"context"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// lenderClient sends borrow and return requests to other hosts. It implements
// limiter.LenderClient and slotter.LenderClient.
type lenderClient struct {
	pool      *peers.Pool
	directory *directory
}

// Borrow requests a loan from one host.
func (l *lenderClient) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	p, err := l.peer(lender)
	if err != nil {
		return nil, err
	}
	return p.Borrow(ctx, r)
}

// Return returns loans to one host.
func (l *lenderClient) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	p, err := l.peer(lender)
	if err != nil {
		return err
	}
	_, err = p.Return(ctx, r)
	return err
}

func (l *lenderClient) peer(i ids.Instance) (peerpb.PeerClient, error) {
	address, ok := l.directory.peersAddress(i)
	if !ok {
		return nil, errs.New("the peer address of instance %s is unknown", i)
	}
	return l.pool.Peer(address)
}

// lenderMux passes peers' requests to the limiter or the slotter, depending on
// whether they name a workspace or a target.
type lenderMux struct {
	workspaces peers.Lender
	targets    peers.Lender
}

// Borrow implements peers.Lender.
func (m *lenderMux) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if r.GetTarget() != "" {
		return m.targets.Borrow(ctx, r)
	}
	return m.workspaces.Borrow(ctx, r)
}

// Return implements peers.Lender.
func (m *lenderMux) Return(ctx context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	ofWorkspaces := &peerpb.ReturnRequest{Borrower: r.GetBorrower(), Lender: r.GetLender()}
	ofTargets := &peerpb.ReturnRequest{Borrower: r.GetBorrower(), Lender: r.GetLender()}
	for _, l := range r.GetLoans() {
		if l.GetTarget() != "" {
			ofTargets.Loans = append(ofTargets.Loans, l)
		} else {
			ofWorkspaces.Loans = append(ofWorkspaces.Loans, l)
		}
	}
	if len(ofWorkspaces.GetLoans()) > 0 {
		if _, err := m.workspaces.Return(ctx, ofWorkspaces); err != nil {
			return nil, err
		}
	}
	if len(ofTargets.GetLoans()) > 0 {
		if _, err := m.targets.Return(ctx, ofTargets); err != nil {
			return nil, err
		}
	}
	return &peerpb.ReturnReply{}, nil
}
