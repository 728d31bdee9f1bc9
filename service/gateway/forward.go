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
	return q.outgoing(ctx, c.Address, header)
}

// targetURL returns a URL without an address whose request target is exactly the given one. It returns false if there is none: net/http can't write a path that begins with
// two slashes and has characters that must be escaped.
func targetURL(target string) (*url.URL, bool) {
	u := &url.URL{Scheme: "http"}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u, true
	}
	path, query, hasQuery := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, false
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = decoded, path, query, hasQuery
	return u, u.RequestURI() == target
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
