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
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
)

// The bounds of a Client's calls.
const (
	askTimeout     = 5 * time.Second
	dialTimeout    = 2 * time.Second
	maxAnswerBytes = 64 << 20
)

// ErrUnreachable says that no host answered.
type ErrUnreachable struct {
	Hosts []string
	Cause error
}

// Error names the hosts and the last cause.
func (e *ErrUnreachable) Error() string {
	return fmt.Sprintf("no answer from %v: %v", e.Hosts, e.Cause)
}

// Unwrap returns the last cause.
func (e *ErrUnreachable) Unwrap() error { return e.Cause }

// Client asks entry hosts on behalf of an operator. Hosts is required. Its
// methods may be called from several goroutines.
type Client struct {
	// Hosts lists operators' addresses; the first that answers is used.
	Hosts []string
	// HTTP sends the requests; nil takes one with short time-outs.
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

// Document returns the newest document that a host knows. Before the first one
// its error is a *Problem with CodeNoConfiguration.
func (c *Client) Document(ctx context.Context) (Document, error) {
	var doc Document
	err := c.first(ctx, func(ctx context.Context, host string) error {
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

// Presets returns the presets of the configuration in force.
func (c *Client) Presets(ctx context.Context) (PresetList, error) {
	var list PresetList
	err := c.first(ctx, func(ctx context.Context, host string) error {
		return c.getJSON(ctx, host, "/v1/presets", &list)
	})
	return list, err
}

// first asks the hosts in turn until one answers; a Problem is an answer.
func (c *Client) first(ctx context.Context, ask func(ctx context.Context, host string) error) error {
	last := errs.New("no host is named")
	for _, host := range c.Hosts {
		err := ask(ctx, host)
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
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+path, nil)
	if err != nil {
		return nil, nil, err
	}
	return c.answer(r)
}

// answer sends a request and returns the answer's header and body. An error
// status is a *Problem.
func (c *Client) answer(r *http.Request) (http.Header, []byte, error) {
	resp, err := c.do(r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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
	_, body, err := c.answer(r)
	if err != nil {
		return ApplyResult{}, err
	}
	if err := json.Unmarshal(body, &applied); err != nil {
		return ApplyResult{}, errs.New("%s answered no such JSON: %v", host, err)
	}
	return applied, nil
}
