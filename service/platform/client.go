package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// HeaderVersion is the header field with a key's version in every response about a
// key.
const HeaderVersion = "Store-Version"

// Limits of the calls to the platform.
const (
	// watchWait is how long the service may hold one long poll.
	watchWait = 60 * time.Second
	// watchSlack is how much longer the client waits for its response.
	watchSlack       = 5 * time.Second
	idleTimeout      = 90 * time.Second
	connectTimeout   = 2 * time.Second
	maxResponseBytes = 4 << 20
)

// LeaseBody is the JSON form of a lease.
type LeaseBody struct {
	ID      LeaseID `json:"id"`
	Expired bool    `json:"lapsed"`
}

// HostsBody is the JSON form of the host list.
type HostsBody struct {
	Hosts []Host `json:"hosts"`
}

// Config holds what a Client needs. BaseURL is required.
type Config struct {
	// BaseURL is the service's address, such as "http://10.0.0.1:7000".
	BaseURL string
	// Dial opens connections; nil means TCP. It is ignored if HTTPClient is set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// HTTPClient sends the requests; if nil, New creates one.
	HTTPClient *http.Client
}

// Client calls the platform's service over HTTP. It implements Store and
// HostLister, and its methods may be called concurrently. It caches the values of
// keys, so that the service sends a value only if it has changed since the last Get.
type Client struct {
	base string
	http *http.Client

	mu    sync.Mutex
	cache map[string]Entry
}

// New returns a Client. Connections are opened by the first calls.
func New(cfg Config) *Client {
	c := &Client{base: cfg.BaseURL, http: cfg.HTTPClient, cache: make(map[string]Entry)}
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport(cfg.Dial)}
	}
	return c
}

func newTransport(dial func(context.Context, string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		d := &net.Dialer{}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// The HTTP transport lets a dial continue after its request was
			// cancelled, so the dial needs a timeout of its own.
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return dial(ctx, address)
		},
		IdleConnTimeout: idleTimeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	known := c.cached(key)
	header := http.Header{}
	if known.Version > 0 {
		header.Set("If-None-Match", strconv.Quote(formatVersion(known.Version)))
	}
	resp, err := c.call(ctx, http.MethodGet, keyPath(key), header, nil)
	if err != nil {
		return Entry{}, err
	}
	switch {
	case resp.status == http.StatusNotModified && known.Version > 0:
		return known, nil
	case resp.status == http.StatusNotFound && resp.hasVersion:
		return Entry{}, nil
	case resp.status == http.StatusOK && resp.hasVersion:
		return c.updateCache(key, Entry{Value: resp.body, Version: resp.version}), nil
	default:
		return Entry{}, resp.statusError("get " + key)
	}
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect Version, value []byte) (Version, error) {
	path := keyPath(key) + "?expect=" + formatVersion(expect)
	resp, err := c.call(ctx, http.MethodPut, path, nil, value)
	if err != nil {
		return 0, err
	}
	switch {
	case resp.status == http.StatusNoContent && resp.hasVersion:
		return resp.version, nil
	case resp.status == http.StatusConflict && resp.hasVersion:
		return 0, &ErrConflict{Key: key, Expect: expect, Current: resp.version}
	default:
		return 0, resp.statusError("write " + key)
	}
}

// Watch implements Store by long polling.
func (c *Client) Watch(ctx context.Context, key string, after Version) (Entry, error) {
	path := keyPath(key) + "?after=" + formatVersion(after) +
		"&waitMs=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	for {
		resp, err := c.poll(ctx, path)
		if err != nil {
			return Entry{}, err
		}
		switch {
		case resp.status == http.StatusNotModified:
			continue
		case resp.status == http.StatusOK && resp.hasVersion:
			return c.updateCache(key, Entry{Value: resp.body, Version: resp.version}), nil
		default:
			return Entry{}, resp.statusError("watch " + key)
		}
	}
}

// poll sends one long poll. It times out if the service does not respond.
func (c *Client) poll(ctx context.Context, path string) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	return c.call(ctx, http.MethodGet, path, nil, nil)
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	path := "/v1/leases?ttlMs=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	resp, err := c.call(ctx, http.MethodPost, path, nil, nil)
	if err != nil {
		return "", err
	}
	var body LeaseBody
	if err := resp.decode("grant a lease", &body); err != nil {
		return "", err
	}
	return body.ID, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	resp, err := c.call(ctx, http.MethodPost, leasePath(id)+"/renewal", nil, nil)
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusNoContent:
		return nil
	case http.StatusGone:
		return &ErrLeaseExpired{ID: id}
	default:
		return resp.statusError("renew a lease")
	}
}

// Expired implements Store.
func (c *Client) Expired(ctx context.Context, id LeaseID) (bool, error) {
	resp, err := c.call(ctx, http.MethodGet, leasePath(id), nil, nil)
	if err != nil {
		return false, err
	}
	var body LeaseBody
	if err := resp.decode("read a lease", &body); err != nil {
		return false, err
	}
	if body.ID != id {
		return false, errs.New("read a lease: the answer is about lease %q", body.ID)
	}
	return body.Expired, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	resp, err := c.call(ctx, http.MethodDelete, leasePath(id), nil, nil)
	if err != nil {
		return err
	}
	if resp.status != http.StatusNoContent {
		return resp.statusError("revoke a lease")
	}
	return nil
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	resp, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	var body HostsBody
	if err := resp.decode("list hosts", &body); err != nil {
		return nil, err
	}
	return body.Hosts, nil
}

func (c *Client) cached(key string) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache[key]
}

// updateCache caches e unless a newer entry of the key is cached. It returns e.
func (c *Client) updateCache(key string, e Entry) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Version > c.cache[key].Version {
		c.cache[key] = e
	}
	return e
}

// response is a complete response of the service.
type response struct {
	status     int
	version    Version
	hasVersion bool
	body       []byte
}

// decode decodes the JSON body of a response with status 200 into v. what names the
// operation in errors.
func (r *response) decode(what string, v any) error {
	if r.status != http.StatusOK {
		return r.statusError(what)
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return errs.New("%s: %v", what, err)
	}
	return nil
}

func (r *response) statusError(what string) error {
	return errs.New("%s: the platform answered with status %d", what, r.status)
}

// call sends one request and reads the whole response.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if header != nil {
		req.Header = header
	}
	httpResp, err := c.http.Do(req)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer func() { _ = httpResp.Body.Close() }() // the body has been read, or its error is returned
	resp := &response{status: httpResp.StatusCode}
	if resp.body, err = io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes)); err != nil {
		return nil, errs.Wrap(err)
	}
	if text := httpResp.Header.Get(HeaderVersion); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errs.New("the platform sent the version %q", text)
		}
		resp.version, resp.hasVersion = Version(v), true
	}
	return resp, nil
}

func keyPath(key string) string {
	u := url.URL{Path: "/v1/keys/" + key}
	return u.EscapedPath()
}

func leasePath(id LeaseID) string { return "/v1/leases/" + url.PathEscape(string(id)) }

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }
