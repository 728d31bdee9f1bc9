package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
)

// Limits of a Client's calls.
const (
	getTimeout       = 5 * time.Second
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnreachable means that no host responded. Cause holds the last error, or all
// of them.
type ErrUnreachable struct {
	Hosts []string
	Cause error
}

// Error names the hosts and the cause.
func (e *ErrUnreachable) Error() string {
	return fmt.Sprintf("no answer from %v: %v", e.Hosts, e.Cause)
}

// Unwrap returns Cause.
func (e *ErrUnreachable) Unwrap() error { return e.Cause }

// Client sends an operator's requests to entry hosts. Hosts is required. Its methods
// may be called concurrently.
type Client struct {
	// Hosts lists operators' addresses; the first that responds is used.
	Hosts []string
	// HTTP sends the requests; nil means a client with a short dial timeout.
	HTTP *http.Client
}

var defaultHTTP = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,
}}

func (c *Client) do(r *http.Request) (*http.Response, error) {
	if c.HTTP != nil {
		return c.HTTP.Do(r)
	}
	return defaultHTTP.Do(r)
}

// Document returns the newest document that the first responding host knows. Its
// error is a *Problem, with CodeNoConfiguration if there is no document yet, or an
// *ErrUnreachable.
func (c *Client) Document(ctx context.Context) (Document, error) {
	var doc Document
	err := c.tryHosts(ctx, func(ctx context.Context, host string) error {
		var err error
		doc, err = c.documentOf(ctx, host)
		return err
	})
	return doc, err
}

func (c *Client) documentOf(ctx context.Context, host string) (Document, error) {
	header, body, err := c.get(ctx, host, "/v1/config")
	if err != nil {
		return Document{}, err
	}
	n, err := strconv.ParseUint(header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Document{}, errs.New("%s answered without a revision", host)
	}
	return Document{Revision: ids.Revision(n), Text: body}, nil
}

// Presets returns the presets of the configuration in force. Its error is a
// *Problem or an *ErrUnreachable.
func (c *Client) Presets(ctx context.Context) (PresetList, error) {
	var list PresetList
	err := c.tryHosts(ctx, func(ctx context.Context, host string) error {
		return c.getJSON(ctx, host, "/v1/presets", &list)
	})
	return list, err
}

// Explanation returns the JSON with which the first responding gateway host explains where it
// would send a request. Hosts must be metrics addresses. Its error is a *Problem or an
// *ErrUnreachable.
func (c *Client) Explanation(ctx context.Context, query url.Values) ([]byte, error) {
	var body []byte
	err := c.tryHosts(ctx, func(ctx context.Context, host string) error {
		var err error
		_, body, err = c.get(ctx, host, "/explain?"+query.Encode())
		return err
	})
	return body, err
}

// tryHosts calls try with each of c.Hosts in turn until one responds. A Problem is a
// response.
func (c *Client) tryHosts(ctx context.Context, try func(ctx context.Context, host string) error) error {
	last := errs.New("no host is named")
	for _, host := range c.Hosts {
		err := try(ctx, host)
		var p *Problem
		if err == nil || errors.As(err, &p) {
			return err
		}
		last = err
	}
	return &ErrUnreachable{Hosts: c.Hosts, Cause: last}
}

func (c *Client) hostList(ctx context.Context, host string) (HostList, error) {
	var list HostList
	err := c.getJSON(ctx, host, "/v1/hosts", &list)
	return list, err
}

func (c *Client) statusOf(ctx context.Context, host string) (Status, error) {
	var s Status
	err := c.getJSON(ctx, host, "/v1/status", &s)
	return s, err
}

func (c *Client) reportOf(ctx context.Context, host string) (meter.Report, error) {
	var r meter.Report
	err := c.getJSON(ctx, host, "/v1/report", &r)
	return r, err
}

func (c *Client) getJSON(ctx context.Context, host, path string, v any) error {
	_, body, err := c.get(ctx, host, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errs.New("%s%s answered no such JSON: %v", host, path, err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, host, path string) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+path, nil)
	if err != nil {
		return nil, nil, err
	}
	return c.send(r)
}

// send sends a request and returns the header and body of the response. If the
// status is an error, it returns the *Problem from the body.
func (c *Client) send(r *http.Request) (http.Header, []byte, error) {
	resp, err := c.do(r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, errs.New("%s: the answer was cut short: %v", r.URL.Host, err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp.Header, body, nil
	}
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil || p.Code == "" {
		return nil, nil, errs.New("%s answered %s", r.URL.Host, resp.Status)
	}
	return nil, nil, p
}

// put sends a document to one host.
func (c *Client) put(ctx context.Context, host string, text []byte, base ids.Revision) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/config?base=%d", host, base)
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return ApplyResult{}, err
	}
	var applied ApplyResult
	_, body, err := c.send(r)
	if err != nil {
		return ApplyResult{}, err
	}
	if err := json.Unmarshal(body, &applied); err != nil {
		return ApplyResult{}, errs.New("%s answered no such JSON: %v", host, err)
	}
	return applied, nil
}
