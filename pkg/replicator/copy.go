package replicator

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Copy replicates the outcome of a key that this host owns in the background. It
// returns at once, or with Config.AckTimeout set once the replica is stored or that
// time is over. Failures are only counted, in Stats.Lost.
func (r *Replicator) Copy(k deduplicator.Key, q deduplicator.Request, o *deduplicator.Outcome) {
	sum := q.Sum()
	req := &peerpb.CopyRequest{
		Owner: string(k.Owner), Epoch: k.Epoch, Id: k.ID, Request: sum[:],
		Outcome: encodeOutcome(o), Oldest: r.cfg.OldestEpoch(),
	}
	size := int64(proto.Size(req))
	if r.inFlight.Add(size) > r.cfg.MaxInFlight {
		r.inFlight.Add(-size)
		r.lost.Add(1)
		return
	}
	r.sentBytes.Add(size)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer r.inFlight.Add(-size)
		r.send(req)
	}()
	if r.cfg.AckTimeout == 0 {
		return
	}
	t := time.NewTimer(r.cfg.AckTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// send sends the outcome to the preferred hosts until one has stored it.
func (r *Replicator) send(req *peerpb.CopyRequest) {
	for _, address := range r.replicaAddresses() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		reply, err := r.cfg.Peers.Copy(ctx, address, req)
		cancel()
		if err == nil && reply.GetKept() {
			r.sent.Add(1)
			return
		}
	}
	r.lost.Add(1)
}

// Recall returns the replicated outcome of a key whose owner is unreachable, or nil
// if no replica is found. An outcome is final, so it may be replayed even if the
// owner is alive. Its error is a *refusal.Refusal, for a key that was used for a
// different request.
func (r *Replicator) Recall(ctx context.Context, k deduplicator.Key, q deduplicator.Request) (*deduplicator.Outcome, error) {
	sum := q.Sum()
	req := &peerpb.RecallRequest{Owner: string(k.Owner), Epoch: k.Epoch, Id: k.ID, Request: sum[:]}
	if reply := r.cfg.FindLocal(req); isHit(reply) {
		return decodeReply(reply)
	}
	for _, address := range r.replicaHolders(k.Owner) {
		callCtx, cancel := context.WithTimeout(ctx, recallTimeout)
		reply, err := r.cfg.Peers.Recall(callCtx, address, req)
		cancel()
		if err == nil && isHit(reply) {
			return decodeReply(reply)
		}
	}
	return nil, nil //nolint:nilnil // A missing replica is no error.
}

func isHit(r *peerpb.RecallReply) bool { return r.GetReused() || r.GetOutcome() != nil }

func encodeOutcome(o *deduplicator.Outcome) *peerpb.OutcomeCopy {
	m := &peerpb.OutcomeCopy{
		Status:   int32(o.Status),
		Headers:  encodeHeader(o.Header),
		Body:     o.Body,
		Trailers: encodeHeader(o.Trailer),
		Dropped:  o.BodyDropped,
		Target:   string(o.Target),
		Region:   string(o.Region),
	}
	if rf := o.Refusal; rf != nil {
		m.Status = int32(rf.Status)
		m.RefusalCode = string(rf.Code)
		m.RefusalDetail = rf.Detail
		m.RefusalOutcome = string(rf.Outcome)
	}
	return m
}

func encodeHeader(h map[string][]string) []*peerpb.Header {
	var all []*peerpb.Header
	for name, values := range h {
		all = append(all, &peerpb.Header{Name: name, Values: values})
	}
	return all
}

func decodeReply(r *peerpb.RecallReply) (*deduplicator.Outcome, error) {
	if r.GetReused() {
		return nil, deduplicator.KeyReused()
	}
	m := r.GetOutcome()
	if m.GetRefusalCode() != "" {
		return &deduplicator.Outcome{Refusal: &refusal.Refusal{
			Status:  int(m.GetStatus()),
			Code:    refusal.Code(m.GetRefusalCode()),
			Outcome: refusal.Outcome(m.GetRefusalOutcome()),
			Detail:  m.GetRefusalDetail(),
		}}, nil
	}
	return &deduplicator.Outcome{
		Status:      int(m.GetStatus()),
		Header:      decodeHeader(m.GetHeaders()),
		Body:        m.GetBody(),
		Trailer:     decodeHeader(m.GetTrailers()),
		BodyDropped: m.GetDropped(),
		Target:      ids.Target(m.GetTarget()),
		Region:      ids.Region(m.GetRegion()),
	}, nil
}

func decodeHeader(all []*peerpb.Header) http.Header {
	if len(all) == 0 {
		return nil
	}
	h := make(http.Header, len(all))
	for _, f := range all {
		h[f.GetName()] = f.GetValues()
	}
	return h
}
