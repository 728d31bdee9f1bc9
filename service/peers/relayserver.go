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

// RelayServer runs requests that other hosts took in; it is a Relayer of Server.
type RelayServer struct {
	Forwarder Forwarder
	// Link bounds the bytes of answers' bodies; it may be nil.
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
	a, err := s.Forwarder.Forward(ctx, toForward(head, stream))
	if err != nil {
		return stream.Send(refusalFrame(err))
	}
	defer func() { _ = a.Body.Close() }() // It has ended, or the peer is gone.
	if err := stream.Send(answerFrame(a)); err != nil {
		return err
	}
	return sendBody(shaped(ctx, s.Link, stream.Send), a.Body, a.ContentLength, func() http.Header { return a.Trailer })
}

func toForward(head *peerpb.RelayRequestHead, stream grpc.BidiStreamingServer[peerpb.RelayFrame, peerpb.RelayFrame]) *callers.Request {
	h := fromHeaders(head.GetHeaders())
	trailer := takeTrailer(h)
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

func refusalFrame(err error) *peerpb.RelayFrame {
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

func answerFrame(a *callers.Response) *peerpb.RelayFrame {
	headers := withTrailerNames(a.Header, a.Trailer)
	if a.Replayed {
		headers = append(headers, &peerpb.Header{Name: fieldReplayed, Values: []string{"true"}})
	}
	return &peerpb.RelayFrame{Part: &peerpb.RelayFrame_Answer{Answer: &peerpb.RelayAnswerHead{
		Status:        int32(a.Status),
		Headers:       headers,
		ContentLength: a.ContentLength,
		Outcome:       string(a.Outcome),
		Target:        string(a.Target),
		Region:        string(a.Region),
	}}}
}
