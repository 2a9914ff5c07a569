// Package adminclient is a client of the administration API.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

const maxAnswerBytes = 64 << 20

// APIError is an error response of the administration API.
type APIError struct {
	Status int
	adminapi.ErrorResult
}

// Error implements error.
func (e *APIError) Error() string { return e.Code + ": " + e.Message }

// Verdict returns whether the failed call may have taken effect.
func (e *APIError) Verdict() verdict.Verdict { return e.ErrorResult.Verdict }

// Client calls one host's administration API.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the API at base with an operator's key.
func New(base, key string, transport http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Transport: transport}}
}

// Inventory returns the inventory in force on the host.
func (c *Client) Inventory(ctx context.Context) (adminapi.InventoryResult, error) {
	var result adminapi.InventoryResult
	return result, c.call(ctx, http.MethodGet, "/v1/inventory", nil, &result)
}

// Change requests a change of the inventory.
func (c *Client) Change(ctx context.Context, req adminapi.ChangeRequest) (adminapi.ChangeResult, error) {
	var result adminapi.ChangeResult
	return result, c.call(ctx, http.MethodPost, "/v1/changes", req, &result)
}

// Audit returns the last changes, newest first.
func (c *Client) Audit(ctx context.Context, limit int) ([]configlog.Change, error) {
	var result []configlog.Change
	return result, c.call(ctx, http.MethodGet, "/v1/changes?limit="+strconv.Itoa(limit), nil, &result)
}

// Status returns the state of the deployment as the host sees it.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var result adminapi.Status
	return result, c.call(ctx, http.MethodGet, "/v1/status", nil, &result)
}

// Explain returns the record of how a request was dispatched.
func (c *Client) Explain(ctx context.Context, request string) (dispatch.TraceReport, error) {
	var result dispatch.TraceReport
	return result, c.call(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(request), nil, &result)
}

// Drain makes an entry host not ready and makes it give up its runners.
func (c *Client) Drain(ctx context.Context, host string) error {
	var result map[string]string
	return c.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/drain", nil, &result)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read response of the administration API")
	}
	if resp.StatusCode != http.StatusOK {
		failed := &APIError{Status: resp.StatusCode}
		if json.Unmarshal(text, &failed.ErrorResult) != nil || failed.Code == "" {
			return errors.Errorf("administration API: %s", resp.Status)
		}
		return failed
	}
	return errors.Wrap(json.Unmarshal(text, into), "decode response of the administration API")
}
