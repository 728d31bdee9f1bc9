package callers

import (
	"net/url"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// requestPrefix is the path prefix of requests to targets.
const requestPrefix = "/s/"

// servicePath is a parsed request path.
type servicePath struct {
	service ids.Service
	// escaped is the path after the service name as the caller wrote it, and decoded
	// the same path decoded, which is used to match the route.
	escaped string
	decoded string
}

// splitPath parses a request path. It refuses every path that a target might interpret
// as a different one than the one that the route was matched by.
func splitPath(u *url.URL) (servicePath, *refusal.Refusal) {
	rest := strings.TrimPrefix(u.EscapedPath(), requestPrefix)
	name, tail, _ := strings.Cut(rest, "/")
	if name == "" || strings.ContainsAny(name, "%;\\") || name == "." || name == ".." {
		return servicePath{}, badRequest("the path has no plain service name; it is /s/{service}/...")
	}
	segments := strings.Split(tail, "/")
	for i, s := range segments {
		decoded, err := url.PathUnescape(s)
		if err != nil {
			return servicePath{}, badRequest("the path is not percent-encoded correctly")
		}
		last := i == len(segments)-1
		if reason := segmentError(decoded, last); reason != "" {
			return servicePath{}, badRequest(reason)
		}
		segments[i] = decoded
	}
	return servicePath{
		service: ids.Service(name),
		escaped: "/" + tail,
		decoded: "/" + strings.Join(segments, "/"),
	}, nil
}

// segmentError returns why a decoded segment is refused, or an empty string.
func segmentError(s string, last bool) string {
	switch {
	case s == "" && !last:
		return "the path has an empty segment"
	case s == "." || s == "..":
		return "the path has a dot segment"
	case strings.ContainsAny(s, `/\`):
		return "the path has an encoded slash or a backslash"
	case strings.Contains(s, ";"):
		return "the path has a parameter behind a semicolon"
	case strings.ContainsFunc(s, isControl):
		return "the path has a control character"
	case encodedTwice(s):
		return "the path has a dot, slash or semicolon that is encoded twice"
	default:
		return ""
	}
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

func encodedTwice(s string) bool {
	lower := strings.ToLower(s)
	for _, code := range []string{"%2e", "%2f", "%5c", "%3b", "%25"} {
		if strings.Contains(lower, code) {
			return true
		}
	}
	return false
}
