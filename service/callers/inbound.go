package callers

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/sanitizer"
)

// Header fields exchanged between callers, entry hosts and targets.
const (
	HeaderTimeout        = "Gypsum-Timeout-Ms"
	HeaderWorkspace      = "Gypsum-Workspace"
	HeaderRegion         = "Gypsum-Region"
	HeaderReplayed       = "Gypsum-Replayed"
	HeaderShed           = "Gypsum-Shed"
	HeaderLeaving        = "Gypsum-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// inbound is a parsed request of a caller.
type inbound struct {
	req     *Request
	service *config.Service
	timeout time.Duration
	// once reports that the route runs requests at most once, by key.
	once bool
	key  deduplicator.Key
}

// prepare checks a caller's request and converts it to a Request. The inbound is never
// nil: for a refused request it holds what is known of it.
func (h *Handler) prepare(r *http.Request) (*inbound, *refusal.Refusal) {
	in := &inbound{req: &Request{Method: r.Method, Origin: h.cfg.Region, ContentLength: r.ContentLength}}
	if rf := h.cfg.Lease.Check(); rf != nil {
		in.once = r.Header.Get(HeaderIdempotencyKey) != ""
		in.key, _ = deduplicator.ParseKey(r.Header.Get(HeaderIdempotencyKey))
		return in, rf
	}
	s := h.cfg.ConfigSource.Snapshot()
	if s == nil {
		return in, noConfiguration()
	}
	path, rf := splitPath(r.URL)
	if rf != nil {
		return in, rf
	}
	svc, ok := s.Service(path.service)
	if !ok {
		return in, unknownService()
	}
	in.service = svc
	in.req.Service = svc.Name
	route := svc.Route(r.Method, path.decoded)
	if rf := in.setKey(r, route); rf != nil {
		return in, rf
	}
	if s.Closed(svc.Name) {
		return in, closed()
	}
	key, rf := h.authenticate(in, s, r, route)
	if rf != nil {
		return in, rf
	}
	if rf := in.checkProtocol(r); rf != nil {
		return in, rf
	}
	clean := sanitizer.Sanitizer{Key: key}
	if clean.PathHoldsKey(path.escaped) {
		return in, badRequest("the path holds the workspace's key")
	}
	in.fill(r, path, clean)
	in.req.Origin = h.cfg.Steerer.Origin(r.RemoteAddr, ids.Region(r.Header.Get(HeaderRegion)))
	return in, nil
}

// setKey parses the idempotency key if the route requires one.
func (in *inbound) setKey(r *http.Request, route config.Route) *refusal.Refusal {
	if !route.Once {
		return nil
	}
	in.once = true
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return refuse(http.StatusBadRequest, refusal.CodeIdempotencyKeyMissing,
			"this route needs the header Idempotency-Key: PREFIX.ID, with the prefix from /v1/lookup")
	}
	if len(values) > 1 {
		return refuse(http.StatusBadRequest, refusal.CodeIdempotencyPrefixInvalid, "there is more than one Idempotency-Key")
	}
	k, err := deduplicator.ParseKey(values[0])
	if err != nil {
		return refuse(http.StatusBadRequest, refusal.CodeIdempotencyPrefixInvalid, err.Error())
	}
	in.key = k
	in.req.IdempotencyKey = k.String()
	return nil
}

// authenticate sets the workspace and returns the API key of the request.
func (h *Handler) authenticate(in *inbound, s *config.Snapshot, r *http.Request, route config.Route) (string, *refusal.Refusal) {
	key, rf := bearer(r.Header)
	if rf != nil && !route.Open {
		return "", rf
	}
	ref, ok := s.Authenticate(key)
	if ok && key != "" {
		in.req.Workspace = ref.Workspace
		if !route.Open {
			in.req.allowed = h.keyCheck(key, s.Revision)
		}
		return key, nil
	}
	// An open route accepts any caller, so a wrong key counts as none.
	if route.Open {
		return key, nil
	}
	return "", keyUnknown()
}

// keyCheck returns a function that checks whether a key that was valid at revision seen
// is still valid.
func (h *Handler) keyCheck(key string, seen ids.Revision) func() *refusal.Refusal {
	return func() *refusal.Refusal {
		s := h.cfg.ConfigSource.Snapshot()
		if s.Revision == seen {
			return nil
		}
		if _, ok := s.Authenticate(key); !ok {
			return keyUnknown()
		}
		return nil
	}
}

// bearer returns the API key in the Authorization field.
func bearer(h http.Header) (string, *refusal.Refusal) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", refuse(http.StatusUnauthorized, refusal.CodeKeyMissing, "the header Authorization: Bearer KEY is missing")
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", refuse(http.StatusUnauthorized, refusal.CodeKeyMissing, "the header Authorization must come once, as Bearer KEY")
	}
	return key, nil
}

// checkProtocol checks what net/http leaves to the handler, and sets the timeout.
func (in *inbound) checkProtocol(r *http.Request) *refusal.Refusal {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return refuse(http.StatusMethodNotAllowed, refusal.CodeBadRequest, "CONNECT and TRACE are not served")
	}
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 responses may end with the connection, so a truncated one would look
		// complete.
		return refuse(http.StatusHTTPVersionNotSupported, refusal.CodeBadRequest, "HTTP/1.0 is not served")
	}
	if r.Header.Get("Upgrade") != "" {
		return refuse(http.StatusNotImplemented, refusal.CodeBadRequest, "connections are not upgraded")
	}
	if r.ContentLength > in.service.BodyLimit() {
		return bodyTooLarge(refusal.NotRun)
	}
	in.timeout = in.service.Timeout()
	timeout := r.Header.Get(HeaderTimeout)
	if timeout == "" {
		return nil
	}
	ms, err := strconv.ParseInt(timeout, 10, 64)
	if err != nil || ms <= 0 {
		return badRequest(HeaderTimeout + " must be a whole number of milliseconds above zero")
	}
	if ms < math.MaxInt64/int64(time.Millisecond) {
		in.timeout = min(in.timeout, time.Duration(ms)*time.Millisecond)
	}
	return nil
}

// fill sets what is forwarded to the target.
func (in *inbound) fill(r *http.Request, path servicePath, clean sanitizer.Sanitizer) {
	req := in.req
	req.Path = path.escaped
	if query := clean.Query(r.URL.RawQuery); query != "" {
		req.Path += "?" + query
	}
	req.Header = clean.RequestHeader(r.Header)
	req.Trailer = clean.Trailer(r.Trailer)
	req.Body = r.Body
	if len(req.Trailer) > 0 {
		req.Body = &trailerBody{ReadCloser: r.Body, from: r, to: req.Trailer, clean: clean}
	}
	req.Idempotent = !in.once && idempotent(r.Method)
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func closed() *refusal.Refusal {
	return refuse(http.StatusServiceUnavailable, refusal.CodeServiceClosed, "the preset in force closes this service")
}

func keyUnknown() *refusal.Refusal {
	return refuse(http.StatusUnauthorized, refusal.CodeKeyUnknown, "the workspace's key is not in force")
}

func bodyTooLarge(outcome refusal.Outcome) *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusRequestEntityTooLarge,
		Code:    refusal.CodeBodyTooLarge,
		Outcome: outcome,
		Detail:  "the body is over the service's bound",
	}
}
