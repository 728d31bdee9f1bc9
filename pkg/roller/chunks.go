package roller

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/chunker"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// maxInlineBytes is the longest document that is stored in the head itself. A
// value of the store holds 1 MiB, and a document grows by escaping in the JSON
// string.
const maxInlineBytes = 256 << 10

// storeChunks returns the head to store. For a long document it stores the chunks
// first and replaces the document by the manifest.
func (r *Roller) storeChunks(ctx context.Context, h Head) (Head, error) {
	if len(h.Document) <= maxInlineBytes {
		return h, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	manifest, _, err := r.chunks.Save(ctx, []byte(h.Document))
	if err != nil {
		return Head{}, err
	}
	h.Document = ""
	h.Manifest = &manifest
	return h, nil
}

// LoadDocument returns a stored head with its whole document. Chunks that are not
// cached are read from the store. The error is that of chunker.Chunker.Load.
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

// callConfirm sends a stored configuration to a peer. For a long document it sends
// the manifest first, and the peer reads the chunks that it lacks from the store.
// If the peer does not confirm then, it sends the whole document.
func (r *Roller) callConfirm(ctx context.Context, head Head, address string) (*peerpb.ConfirmReply, error) {
	if len(head.Document) > maxInlineBytes {
		msg, err := head.toManifestMessage()
		if err != nil {
			return nil, err
		}
		reply, err := r.cfg.Confirm(ctx, address, &peerpb.ConfirmRequest{Config: msg})
		if err == nil && ids.Revision(reply.GetRevision()) >= head.Revision {
			return reply, nil
		}
	}
	return r.cfg.Confirm(ctx, address, &peerpb.ConfirmRequest{Config: head.toMessage()})
}

// toManifestMessage returns the message that carries the head with the manifest of
// its document.
func (h Head) toManifestMessage() (*peerpb.ConfigHead, error) {
	list, err := json.Marshal(chunker.ManifestOf([]byte(h.Document)))
	if err != nil {
		return nil, errs.New("encode the manifest of the document: %v", err)
	}
	return &peerpb.ConfigHead{Revision: uint64(h.Revision), WriteId: h.WriteID, Manifest: list}, nil
}

// applyMessage applies a configuration sent by a peer.
func (r *Roller) applyMessage(ctx context.Context, msg *peerpb.ConfigHead) error {
	h := headFromMessage(msg)
	if len(msg.GetManifest()) == 0 {
		return r.ApplyHead(h)
	}
	if newest, _ := r.NewestRevisions(); newest >= h.Revision {
		return r.ApplyHead(h) // The chunks are not needed; this waits for the newest revision to be applied.
	}
	h.Manifest = &chunker.Manifest{}
	if err := json.Unmarshal(msg.GetManifest(), h.Manifest); err != nil {
		return errs.New("decode the manifest of the document: %v", err)
	}
	h, err := r.LoadDocument(ctx, h)
	if err != nil {
		return err
	}
	return r.ApplyHead(h)
}
