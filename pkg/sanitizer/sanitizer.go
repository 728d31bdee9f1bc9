// Package sanitizer filters header fields and queries before they are forwarded. It
// removes hop-by-hop fields, the workspace key, other credentials, and fields that
// only the system may set. Package callers makes a Sanitizer for each request.
package sanitizer

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// reservedPrefix is the prefix of the fields that only the system may set.
const reservedPrefix = "Gypsum-"

// hopByHopFields lists the fields that apply to one connection only.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// credentialFields lists the fields that are removed whatever their values.
var credentialFields = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token"}

// overrideFields lists the fields by which some servers override the request's method
// or path. With them a caller could evade the properties of a route.
var overrideFields = []string{
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
	"X-Original-Url", "X-Rewrite-Url", "X-Forwarded-Prefix",
}

// Sanitizer filters one request and its response. The zero value has no key to look
// for, and still removes all fields that may hold one.
type Sanitizer struct {
	// Key is the workspace key of the request. It is removed wherever it occurs, plain
	// or percent-encoded, in any letter case.
	Key string
}

// RequestHeader returns a copy of a caller's header fields without those that must not
// be forwarded to a target. Of Cookie fields it removes only the pairs with the key.
func (s Sanitizer) RequestHeader(h http.Header) http.Header {
	drop := connectionFields(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if drop[name] || strings.HasPrefix(name, reservedPrefix) || s.holdsKey(name) {
			continue
		}
		kept := values
		if name == "Cookie" {
			kept = s.cookiesWithoutKey(values)
		} else if s.anyHoldsKey(values) {
			continue
		}
		if len(kept) > 0 {
			out[name] = append([]string(nil), kept...)
		}
	}
	deleteFields(out, hopByHopFields)
	deleteFields(out, credentialFields)
	deleteFields(out, overrideFields)
	return out
}

// Trailer returns the trailer fields that may be forwarded. It keeps fields that have
// no value yet, so that they can be announced.
func (s Sanitizer) Trailer(h http.Header) http.Header {
	if len(h) == 0 {
		return nil
	}
	out := s.RequestHeader(h)
	for name, values := range h {
		if len(values) == 0 && isAllowedTrailer(name) {
			out[name] = nil
		}
	}
	return out
}

func isAllowedTrailer(name string) bool {
	probe := Sanitizer{}.RequestHeader(http.Header{name: {"x"}})
	return len(probe) == 1
}

// ResponseHeader returns the header fields of a target's response that may be
// forwarded to the caller. It shares their values with h.
func (s Sanitizer) ResponseHeader(h http.Header) http.Header {
	drop := connectionFields(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if drop[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		out[name] = values
	}
	deleteFields(out, hopByHopFields)
	return out
}

// Query returns a raw query without the parameters that contain the key.
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

// PathHoldsKey reports whether an escaped path contains the key.
func (s Sanitizer) PathHoldsKey(path string) bool { return s.holdsKey(path) }

// cookiesWithoutKey returns the Cookie fields without the pairs that contain the key.
func (s Sanitizer) cookiesWithoutKey(values []string) []string {
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

// holdsKey reports whether the text contains the key, plain or percent-encoded, in any
// letter case.
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
	return strings.Contains(strings.ToLower(percentDecode(text)), key)
}

// percentDecode decodes valid percent-encodings and turns + into a space. It leaves
// invalid encodings as they are.
func percentDecode(text string) string {
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

// connectionFields returns the field names in the Connection field, in canonical form.
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

func deleteFields(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}
