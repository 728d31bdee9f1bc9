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

// Copy sends the outcome of a key that this host owns to its backup. It returns
// while the copy is on its way, or after Config.Wait at the latest.
func (c *Replicator) Copy(k deduplicator.Key, q deduplicator.Request, o *deduplicator.Outcome) {
	sum := q.Sum()
	r := &peerpb.CopyRequest{
		Owner: string(k.Owner), Epoch: k.Epoch, Id: k.ID, Request: sum[:],
		Outcome: encode(o), Oldest: c.cfg.OldestEpoch(),
	}
	size := int64(proto.Size(r))
	if c.inFlight.Add(size) > c.cfg.MaxInFlight {
		c.inFlight.Add(-size)
		c.lost.Add(1)
		return
	}
	c.bytes.Add(size)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer c.inFlight.Add(-size)
		c.send(r)
	}()
	if c.cfg.AckTimeout == 0 {
		return
	}
	t := time.NewTimer(c.cfg.AckTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// send gives the outcome to the first backup that takes it.
func (c *Replicator) send(r *peerpb.CopyRequest) {
	for _, address := range c.backups() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTime)
		reply, err := c.cfg.Peers.Copy(ctx, address, r)
		cancel()
		if err == nil && reply.GetKept() {
			c.sent.Add(1)
			return
		}
	}
	c.lost.Add(1)
}

// Recall returns the copied outcome of a key whose owner is out of reach, or
// nil when none is found. An outcome is final, so that it may be replayed also
// while the owner lives. Its error is a *refusal.Refusal.
func (c *Replicator) Recall(ctx context.Context, k deduplicator.Key, q deduplicator.Request) (*deduplicator.Outcome, error) {
	sum := q.Sum()
	r := &peerpb.RecallRequest{Owner: string(k.Owner), Epoch: k.Epoch, Id: k.ID, Request: sum[:]}
	if reply := c.cfg.FindLocal(r); found(reply) {
		return decode(reply)
	}
	for _, address := range c.holders(k.Owner) {
		short, cancel := context.WithTimeout(ctx, recallTime)
		reply, err := c.cfg.Peers.Recall(short, address, r)
		cancel()
		if err == nil && found(reply) {
			return decode(reply)
		}
	}
	return nil, nil //nolint:nilnil // No copy is no error.
}

func found(r *peerpb.RecallReply) bool { return r.GetReused() || r.GetOutcome() != nil }

func encode(o *deduplicator.Outcome) *peerpb.OutcomeCopy {
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

func decode(r *peerpb.RecallReply) (*deduplicator.Outcome, error) {
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
