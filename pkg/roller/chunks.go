package roller

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/chunker"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// inlineBytes is the length up to which a document stands in the head itself.
// A value of the store holds a megabyte, and a document grows as a JSON string.
const inlineBytes = 256 << 10

// pack returns the head as it is to be stored: a long document's chunks are in
// the store already, and the head lists them.
func (r *Roller) pack(ctx context.Context, h Head) (Head, error) {
	if len(h.Document) <= inlineBytes {
		return h, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m, _, err := r.chunks.Save(ctx, []byte(h.Document))
	if err != nil {
		return Head{}, err
	}
	h.Document = ""
	h.Manifest = &m
	return h, nil
}

// Unpack returns a stored head with its whole document, whose chunks it reads
// from the store as far as they are not held here.
func (r *Roller) LoadDocument(ctx context.Context, h Head) (Head, error) {
	if h.Manifest == nil {
		return h, nil
	}
	text, _, err := r.chunks.Load(ctx, *h.Manifest)
	if err != nil {
		return Head{}, err
	}
	h.Document = string(text)
	h.Manifest = nil
	return h, nil
}

// askToConfirm gives a stored configuration to a peer. Of a long document the
// peer gets the list of chunks first, and reads those that it lacks from the
// store; if that does not bring it into force, it gets the whole document.
func (r *Roller) askToConfirm(ctx context.Context, head Head, address string) (*peerpb.ConfirmReply, error) {
	if len(head.Document) > inlineBytes {
		m, err := head.listMessage()
		if err != nil {
			return nil, err
		}
		reply, err := r.cfg.Confirm(ctx, address, &peerpb.ConfirmRequest{Config: m})
		if err == nil && ids.Revision(reply.GetRevision()) >= head.Revision {
			return reply, nil
		}
	}
	return r.cfg.Confirm(ctx, address, &peerpb.ConfirmRequest{Config: head.message()})
}

// listMessage returns the head with the list of its document's chunks.
func (h Head) listMessage() (*peerpb.ConfigHead, error) {
	list, err := json.Marshal(chunker.ManifestOf([]byte(h.Document)))
	if err != nil {
		return nil, errs.New("encode the list of chunks: %v", err)
	}
	return &peerpb.ConfigHead{Revision: uint64(h.Revision), WriteId: h.WriteID, Manifest: list}, nil
}

// applyMessage brings a peer's configuration into force.
func (r *Roller) applyMessage(ctx context.Context, c *peerpb.ConfigHead) error {
	h := headOf(c)
	if len(c.GetManifest()) == 0 {
		return r.ApplyHead(h)
	}
	if newest, _ := r.NewestRevisions(); newest >= h.Revision {
		return r.ApplyHead(h) // It only waits until the newest one is in force.
	}
	h.Manifest = &chunker.Manifest{}
	if err := json.Unmarshal(c.GetManifest(), h.Manifest); err != nil {
		return errs.New("decode the list of chunks: %v", err)
	}
	h, err := r.LoadDocument(ctx, h)
	if err != nil {
		return err
	}
	return r.ApplyHead(h)
}
