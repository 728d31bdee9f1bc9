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

// HeaderVersion carries a key's version in every answer about a key.
const HeaderVersion = "Store-Version"

// The bounds of calls to the platform.
const (
	watchWait      = 60 * time.Second
	watchSlack     = 5 * time.Second
	idleTimeout    = 90 * time.Second
	connectTimeout = 2 * time.Second
	maxAnswerBytes = 4 << 20
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
	// Dial opens connections; nil means TCP. It is not used with HTTPClient.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// HTTPClient sends the calls; nil makes one of its own.
	HTTPClient *http.Client
}

// Client speaks to the platform's service over HTTP. It implements Store and
// HostLister, and its methods may be called from several goroutines. A value
// that has not changed since the last Get is not sent again.
type Client struct {
	base string
	http *http.Client

	mu    sync.Mutex
	cache map[string]Entry
}

// New returns a Client. It opens no connection yet.
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
			// A dial goes on in the background when its call has been given up.
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
	a, err := c.call(ctx, http.MethodGet, keyPath(key), header, nil)
	if err != nil {
		return Entry{}, err
	}
	switch {
	case a.status == http.StatusNotModified && known.Version > 0:
		return known, nil
	case a.status == http.StatusNotFound && a.hasVersion:
		return Entry{}, nil
	case a.status == http.StatusOK && a.hasVersion:
		return c.keep(key, Entry{Value: a.body, Version: a.version}), nil
	default:
		return Entry{}, a.unexpected("get " + key)
	}
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect Version, value []byte) (Version, error) {
	path := keyPath(key) + "?expect=" + formatVersion(expect)
	a, err := c.call(ctx, http.MethodPut, path, nil, value)
	if err != nil {
		return 0, err
	}
	switch {
	case a.status == http.StatusNoContent && a.hasVersion:
		return a.version, nil
	case a.status == http.StatusConflict && a.hasVersion:
		return 0, &ErrConflict{Key: key, Expect: expect, Current: a.version}
	default:
		return 0, a.unexpected("write " + key)
	}
}

// Watch implements Store by long polls.
func (c *Client) Watch(ctx context.Context, key string, after Version) (Entry, error) {
	path := keyPath(key) + "?after=" + formatVersion(after) +
		"&waitMs=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	for {
		a, err := c.poll(ctx, path)
		if err != nil {
			return Entry{}, err
		}
		switch {
		case a.status == http.StatusNotModified:
			continue
		case a.status == http.StatusOK && a.hasVersion:
			return c.keep(key, Entry{Value: a.body, Version: a.version}), nil
		default:
			return Entry{}, a.unexpected("watch " + key)
		}
	}
}

// poll sends one long poll, and gives up on a service that never answers.
func (c *Client) poll(ctx context.Context, path string) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	return c.call(ctx, http.MethodGet, path, nil, nil)
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	path := "/v1/leases?ttlMs=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	a, err := c.call(ctx, http.MethodPost, path, nil, nil)
	if err != nil {
		return "", err
	}
	var body LeaseBody
	if err := a.decode("grant a lease", &body); err != nil {
		return "", err
	}
	return body.ID, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	a, err := c.call(ctx, http.MethodPost, leasePath(id)+"/renewal", nil, nil)
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusNoContent:
		return nil
	case http.StatusGone:
		return &ErrLeaseExpired{ID: id}
	default:
		return a.unexpected("renew a lease")
	}
}

// Lapsed implements Store.
func (c *Client) Expired(ctx context.Context, id LeaseID) (bool, error) {
	a, err := c.call(ctx, http.MethodGet, leasePath(id), nil, nil)
	if err != nil {
		return false, err
	}
	var body LeaseBody
	if err := a.decode("read a lease", &body); err != nil {
		return false, err
	}
	if body.ID != id {
		return false, errs.New("read a lease: the answer is about lease %q", body.ID)
	}
	return body.Expired, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	a, err := c.call(ctx, http.MethodDelete, leasePath(id), nil, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusNoContent {
		return a.unexpected("revoke a lease")
	}
	return nil
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	a, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	var body HostsBody
	if err := a.decode("list hosts", &body); err != nil {
		return nil, err
	}
	return body.Hosts, nil
}

func (c *Client) cached(key string) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache[key]
}

// keep remembers the newest entry of a key and returns e.
func (c *Client) keep(key string, e Entry) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Version > c.cache[key].Version {
		c.cache[key] = e
	}
	return e
}

// answer is one whole answer of the service.
type answer struct {
	status     int
	version    Version
	hasVersion bool
	body       []byte
}

// decode reads a JSON answer.
func (a *answer) decode(what string, v any) error {
	if a.status != http.StatusOK {
		return a.unexpected(what)
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return errs.New("%s: %v", what, err)
	}
	return nil
}

func (a *answer) unexpected(what string) error {
	return errs.New("%s: the platform answered with status %d", what, a.status)
}

// call sends one request and reads the whole answer.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if header != nil {
		r.Header = header
	}
	w, err := c.http.Do(r)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer func() { _ = w.Body.Close() }() // The whole body has been read by then.
	a := &answer{status: w.StatusCode}
	if a.body, err = io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes)); err != nil {
		return nil, errs.Wrap(err)
	}
	if text := w.Header.Get(HeaderVersion); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errs.New("the platform sent the version %q", text)
		}
		a.version, a.hasVersion = Version(v), true
	}
	return a, nil
}

func keyPath(key string) string {
	u := url.URL{Path: "/v1/keys/" + key}
	return u.EscapedPath()
}

func leasePath(id LeaseID) string { return "/v1/leases/" + url.PathEscape(string(id)) }

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }
