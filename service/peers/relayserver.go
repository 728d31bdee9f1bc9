package peers

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// RelayServer runs requests that other hosts received from their callers. It
// implements Relayer.
type RelayServer struct {
	Forwarder Forwarder
	// Link limits the rate of response bodies; it may be nil.
	Link Link
}

// Relay implements Relayer.
func (s *RelayServer) Relay(stream grpc.BidiStreamingServer[peerpb.RelayFrame, peerpb.RelayFrame]) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetRequest()
	if head == nil {
		return status.Error(codes.InvalidArgument, "a relayed request starts with its head")
	}
	ctx := stream.Context()
	if ms := head.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	resp, err := s.Forwarder.Forward(ctx, decodeRequest(head, stream))
	if err != nil {
		return stream.Send(encodeRefusal(err))
	}
	defer func() { _ = resp.Body.Close() }() // it is read to its end, or the peer disconnected
	if err := stream.Send(encodeResponse(resp)); err != nil {
		return err
	}
	return sendBody(rateLimited(ctx, s.Link, stream.Send), resp.Body, resp.ContentLength, func() http.Header { return resp.Trailer })
}

func decodeRequest(head *peerpb.RelayRequestHead, stream grpc.BidiStreamingServer[peerpb.RelayFrame, peerpb.RelayFrame]) *callers.Request {
	h := decodeHeaders(head.GetHeaders())
	trailer := extractTrailer(h)
	return &callers.Request{
		Service:        ids.Service(head.GetService()),
		Workspace:      ids.Workspace(head.GetWorkspace()),
		Origin:         ids.Region(head.GetOrigin()),
		Method:         head.GetMethod(),
		Path:           head.GetPath(),
		Header:         h,
		Body:           newRelayBody(stream.Recv, trailer, nil),
		ContentLength:  head.GetContentLength(),
		Trailer:        trailer,
		Idempotent:     head.GetIdempotent(),
		IdempotencyKey: head.GetIdempotencyKey(),
	}
}

func encodeRefusal(err error) *peerpb.RelayFrame {
	var rf *refusal.Refusal
	if !errors.As(err, &rf) {
		rf = unreachable(refusal.Unknown, "the entry host could not tell how the request ended")
	}
	return &peerpb.RelayFrame{Part: &peerpb.RelayFrame_Answer{Answer: &peerpb.RelayAnswerHead{
		Status:        int32(rf.Status),
		Outcome:       string(rf.Outcome),
		RefusalCode:   string(rf.Code),
		RefusalDetail: rf.Detail,
		RetryAfterMs:  uint64(rf.RetryAfter.Milliseconds()),
	}}}
}

func encodeResponse(resp *callers.Response) *peerpb.RelayFrame {
	headers := encodeHeadersAndTrailer(resp.Header, resp.Trailer)
	if resp.Replayed {
		headers = append(headers, &peerpb.Header{Name: fieldReplayed, Values: []string{"true"}})
	}
	return &peerpb.RelayFrame{Part: &peerpb.RelayFrame_Answer{Answer: &peerpb.RelayAnswerHead{
		Status:        int32(resp.Status),
		Headers:       headers,
		ContentLength: resp.ContentLength,
		Outcome:       string(resp.Outcome),
		Target:        string(resp.Target),
		Region:        string(resp.Region),
	}}}
}
