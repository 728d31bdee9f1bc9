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

// maxBodyFrameBytes is the largest body part in one frame.
const maxBodyFrameBytes = 32 << 10

// peerRetryAfter is the delay that a refusal suggests after a failed relay.
const peerRetryAfter = time.Second

// Host is an entry host to which requests can be relayed.
type Host struct {
	Instance     ids.Instance
	PeersAddress string
	Region       ids.Region
	// Weight is relative to the other hosts of the region. Hosts with zero weight
	// are selected only if all have zero weight.
	Weight float64
}

// Directory looks up entry hosts.
type Directory interface {
	// Region returns the hosts of a region that are ready to serve.
	Region(r ids.Region) []Host
	// Instance returns the host of an instance, ready or not, and false if the
	// instance is unknown.
	Instance(i ids.Instance) (Host, bool)
}

// Forwarder runs requests that other hosts received from their callers.
// *callers.Handler implements it.
type Forwarder interface {
	Forward(ctx context.Context, req *callers.Request) (*callers.Response, error)
}

// encodeHeaders encodes header fields. It keeps fields without a value, because
// announced trailers have none yet.
func encodeHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

func decodeHeaders(list []*peerpb.Header) http.Header {
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
		End: &peerpb.RelayEnd{Trailers: encodeHeaders(trailer), Error: failure},
	}}
}

// sendBody sends a body and the end frame. Each frame has its own buffer, because
// gRPC may use a message after Send has returned. length is -1 if it is unknown.
func sendBody(send func(*peerpb.RelayFrame) error, body io.Reader, length int64, trailer func() http.Header) error {
	size := int64(maxBodyFrameBytes)
	if length >= 0 && length < size {
		size = length + 1 // one more byte, so that the read can return io.EOF
	}
	for body != nil {
		buf := make([]byte, size)
		n, err := body.Read(buf)
		if n > 0 {
			if sendErr := send(bodyFrame(buf[:n])); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF unwrapped.
			break
		}
		if err != nil {
			return send(endFrame(nil, "the body was cut short"))
		}
	}
	return send(endFrame(trailer(), ""))
}

func unreachable(outcome refusal.Outcome, detail string) *refusal.Refusal {
	rf := refusal.Unavailable(refusal.CodePeerUnreachable, detail, peerRetryAfter)
	rf.Outcome = outcome
	return rf
}
