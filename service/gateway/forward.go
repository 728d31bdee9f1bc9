package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
)

// hopByHop lists the header fields that apply to one connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of a header without its hop-by-hop fields.
func endToEnd(src http.Header) http.Header {
	h := src.Clone()
	for _, list := range src.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}

// targetRequest returns the request to send to one target.
func (q *request) targetRequest(ctx context.Context, c *balancer.Choice) *http.Request {
	header := endToEnd(q.r.Header)
	remaining := q.record.Timeout - time.Since(q.start)
	info := ForwardInfo{Target: c.Target, Timeout: remaining}
	if q.ws != nil {
		info.Workspace = q.ws.Name
	}
	q.h.cfg.HeaderCodec.WriteForward(header, info)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	u := &url.URL{Scheme: "http", Host: c.Address, Opaque: requestTarget(q.r.RequestURI)}
	r := &http.Request{
		Method: q.r.Method, URL: u, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: q.r.ContentLength,
	}
	if q.r.ContentLength != 0 {
		r.Body = q.body.NewReader()
	} else if !q.route.Kind.Idempotent() {
		// A non-nil body keeps net/http from retrying the request by itself.
		r.Body = q.body.NewReader()
	}
	return r.WithContext(ctx)
}

// requestTarget returns a request's path and query as the caller sent them.
func requestTarget(uri string) string {
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	if u, err := url.ParseRequestURI(uri); err == nil {
		return u.RequestURI()
	}
	return "/"
}
