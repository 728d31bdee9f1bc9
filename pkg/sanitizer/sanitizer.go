// Package sanitizer prepares header fields and queries for the next hop: no
// hop-by-hop field, no workspace key, and nothing that only the system may say.
package sanitizer

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// ownPrefix starts the names of the header fields that only the system sets.
const ownPrefix = "Gypsum-"

// hopByHop lists the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// credentials lists the fields that hold keys, whatever their values.
var credentials = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token"}

// overrides lists the fields by which some targets change the request's method
// or path, past the properties of the route.
var overrides = []string{
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
	"X-Original-Url", "X-Rewrite-Url", "X-Forwarded-Prefix",
}

// Sanitizer cleans one request. The zero value knows no key and still removes
// all fields that may hold one.
type Sanitizer struct {
	// Key is the workspace key that came with the request.
	Key string
}

// Request returns the fields of a caller's request that may go on to a target.
func (s Sanitizer) RequestHeader(h http.Header) http.Header {
	drop := connectionFields(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if drop[name] || strings.HasPrefix(name, ownPrefix) || s.holdsKey(name) {
			continue
		}
		kept := values
		if name == "Cookie" {
			kept = s.cookies(values)
		} else if s.anyHoldsKey(values) {
			continue
		}
		if len(kept) > 0 {
			out[name] = append([]string(nil), kept...)
		}
	}
	remove(out, hopByHop)
	remove(out, credentials)
	remove(out, overrides)
	return out
}

// Trailer returns the trailer fields that may go on. Fields without a value
// yet stay, so that they can be announced.
func (s Sanitizer) Trailer(h http.Header) http.Header {
	if len(h) == 0 {
		return nil
	}
	out := s.RequestHeader(h)
	for name, values := range h {
		if len(values) == 0 && allowedTrailer(name) {
			out[name] = nil
		}
	}
	return out
}

func allowedTrailer(name string) bool {
	probe := Sanitizer{}.RequestHeader(http.Header{name: {"x"}})
	return len(probe) == 1
}

// Answer returns the fields of a target's answer that may go on to the caller.
func (s Sanitizer) ResponseHeader(h http.Header) http.Header {
	drop := connectionFields(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if drop[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		out[name] = values
	}
	remove(out, hopByHop)
	return out
}

// Query returns a raw query without the parameters that hold the key.
func (s Sanitizer) Query(raw string) string {
	if s.Key == "" || raw == "" {
		return raw
	}
	kept := make([]string, 0, strings.Count(raw, "&")+1)
	for _, p := range strings.Split(raw, "&") {
		if !s.holdsKey(p) {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, "&")
}

// Holds reports whether an escaped path holds the key.
func (s Sanitizer) PathHoldsKey(path string) bool { return s.holdsKey(path) }

// cookies returns the Cookie fields without the pairs that hold the key.
func (s Sanitizer) cookies(values []string) []string {
	var out []string
	for _, v := range values {
		var kept []string
		for _, pair := range strings.Split(v, ";") {
			if pair = strings.TrimSpace(pair); pair != "" && !s.holdsKey(pair) {
				kept = append(kept, pair)
			}
		}
		if len(kept) > 0 {
			out = append(out, strings.Join(kept, "; "))
		}
	}
	return out
}

func (s Sanitizer) anyHoldsKey(values []string) bool {
	for _, v := range values {
		if s.holdsKey(v) {
			return true
		}
	}
	return false
}

// holdsKey reports whether the text holds the key, plain or percent-encoded,
// in any letter case.
func (s Sanitizer) holdsKey(text string) bool {
	if s.Key == "" || len(text) < len(s.Key) {
		return false
	}
	key := strings.ToLower(s.Key)
	if strings.Contains(strings.ToLower(text), key) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	return strings.Contains(strings.ToLower(decode(text)), key)
}

// decode undoes percent-encoding where there is any, and leaves the rest.
func decode(text string) string {
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c == '+' {
			c = ' '
		}
		if c == '%' && i+2 < len(text) {
			if b, err := strconv.ParseUint(text[i+1:i+3], 16, 8); err == nil {
				c = byte(b)
				i += 2
			}
		}
		out = append(out, c)
	}
	return string(out)
}

// connectionFields returns the names that Connection lists.
func connectionFields(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func remove(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}
