package peers

import (
	"context"
	"io"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// relayPartBytes is the length of one part of a body.
const relayPartBytes = 32 << 10

// retryPeer is the wait told after a peer did not answer.
const retryPeer = time.Second

// Host is one entry host to which requests can be relayed.
type Host struct {
	Instance     ids.Instance
	PeersAddress string
	Region       ids.Region
	// Weight is relative to the other hosts of the region; hosts at zero are
	// only taken when all are.
	Weight float64
}

// Directory finds the entry hosts that are ready.
type Directory interface {
	// Region returns the hosts of a region that are ready to serve.
	Region(r ids.Region) []Host
	// Instance returns the host that the instance is, ready or not.
	Instance(i ids.Instance) (Host, bool)
}

// Forwarder runs requests that other hosts took in. *callers.Handler is one.
type Forwarder interface {
	Forward(ctx context.Context, f *callers.Request) (*callers.Response, error)
}

// toHeaders returns fields as a message. Fields without a value stay, as
// announced trailers have none yet.
func toHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

func fromHeaders(list []*peerpb.Header) http.Header {
	if len(list) == 0 {
		return nil
	}
	h := make(http.Header, len(list))
	for _, f := range list {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func bodyFrame(b []byte) *peerpb.RelayFrame {
	return &peerpb.RelayFrame{Part: &peerpb.RelayFrame_Body{Body: b}}
}

func endFrame(trailer http.Header, failure string) *peerpb.RelayFrame {
	return &peerpb.RelayFrame{Part: &peerpb.RelayFrame_End{
		End: &peerpb.RelayEnd{Trailers: toHeaders(trailer), Error: failure},
	}}
}

// sendBody sends a body and its end. A frame may not be changed once it is
// sent, so every part has a buffer of its own. Length is -1 if it is not known.
func sendBody(send func(*peerpb.RelayFrame) error, body io.Reader, length int64, trailer func() http.Header) error {
	size := int64(relayPartBytes)
	if length >= 0 && length < size {
		size = length + 1 // The last byte lets the read see the end.
	}
	for body != nil {
		buf := make([]byte, size)
		n, err := body.Read(buf)
		if n > 0 {
			if serr := send(bodyFrame(buf[:n])); serr != nil {
				return serr
			}
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself.
			break
		}
		if err != nil {
			return send(endFrame(nil, "the body was cut short"))
		}
	}
	return send(endFrame(trailer(), ""))
}

func unreachable(outcome refusal.Outcome, detail string) *refusal.Refusal {
	rf := refusal.Unavailable(refusal.CodePeerUnreachable, detail, retryPeer)
	rf.Outcome = outcome
	return rf
}
