package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/pkg/errors"
)

// Limits of the client.
const (
	defaultTimeout     = 3 * time.Second
	firstGetTimeout    = time.Second
	watchTimeoutMargin = 2 * time.Second
	maxListingBytes    = 64 << 20
	maxErrorBodyBytes  = 512
)

// Client calls the object API over HTTP with JSON. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	calls   atomic.Int64
}

// NewClient returns a client for the object API at base, such as
// "http://127.0.0.1:9000", that connects through the given transport.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{Transport: &answerhead.Transport{Base: transport}},
		timeout: defaultTimeout,
	}
}

// CallCount returns the number of calls made so far.
func (c *Client) CallCount() int64 { return c.calls.Load() }

// Get reads one object. If the first attempt finds the API unavailable, it tries once
// more on a new connection.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	object, err := c.getOnce(ctx, key, firstGetTimeout)
	if err == nil || !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		return object, err
	}
	// The pooled connection may be dead while new ones work.
	c.http.CloseIdleConnections()
	return c.getOnce(ctx, key, c.timeout)
}

func (c *Client) getOnce(ctx context.Context, key string, timeout time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.do(ctx, "get", key, http.MethodGet, "/objects/"+key, nil, nil)
	if err != nil {
		return Object{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, &Error{Op: "get", Key: key, Cause: ErrUnavailable, Detail: err.Error()}
	}
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, &Error{Op: "get", Key: key, Cause: ErrUnavailable, Detail: err.Error()}
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

// Put writes an object if its version is still the given one; version zero
// means that it must not exist yet. It returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, &Error{Op: "put", Key: key, Cause: ErrUnavailable, Detail: "value over a megabyte"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, "put", key, http.MethodPut, "/objects/"+key, preconditionHeader(ifVersion), value)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return 0, &Error{Op: "put", Key: key, Cause: ErrAnswerLost, Detail: err.Error()}
	}
	return version, nil
}

// Delete removes an object if its version is still the given one.
func (c *Client) Delete(ctx context.Context, key string, ifVersion Version) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, "delete", key, http.MethodDelete, "/objects/"+key, preconditionHeader(ifVersion), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// List returns all objects whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var listing Listing
	path := "/objects?prefix=" + url.QueryEscape(prefix)
	err := c.getJSON(ctx, "list", prefix, path, &listing)
	return listing, err
}

// Watch waits up to wait for changes under prefix after the given version. It returns no
// events if there were none.
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error) {
	// A watch on a dead connection would wait forever, so the client times out a
	// little after the platform should have answered.
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	var changes Changes
	path := "/watch?prefix=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatUint(uint64(after), 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.getJSON(ctx, "watch", prefix, path, &changes)
	return changes, err
}

func (c *Client) getJSON(ctx context.Context, op, key, path string, into any) error {
	resp, err := c.do(ctx, op, key, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListingBytes)).Decode(into); err != nil {
		return &Error{Op: op, Key: key, Cause: ErrUnavailable, Detail: err.Error()}
	}
	return nil
}

func (c *Client) do(ctx context.Context, op, key, method, path string, header http.Header, body []byte) (*http.Response, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Key: key, Cause: ErrUnavailable, Detail: err.Error()}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Other pooled connections may have the same fault as this one.
		c.http.CloseIdleConnections()
		return nil, &Error{Op: op, Key: key, Cause: transportCause(method), Detail: err.Error()}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	info, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return nil, &Error{Op: op, Key: key, Cause: statusCause(method, resp.StatusCode), Detail: strings.TrimSpace(string(info))}
}

// transportCause returns the cause of a call without a usable response. Every such write
// may have taken effect: its response can be lost after the write is done.
func transportCause(method string) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	return ErrAnswerLost
}

func statusCause(method string, status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return transportCause(method)
	}
}

func preconditionHeader(version Version) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {formatETag(version)}}
}

func formatETag(version Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func parseETag(text string) (Version, error) {
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "bad ETag %q", text)
	}
	return Version(number), nil
}
