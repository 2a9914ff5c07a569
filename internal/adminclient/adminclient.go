// Package adminclient is a client of the administration API.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/answerhead"
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

// UnansweredError is a call that changes something and whose answer is missing, or is none to it.
type UnansweredError struct{ Cause error }

// Error implements error.
func (e *UnansweredError) Error() string { return "it may have been made: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// Verdict returns that the call may have taken effect.
func (e *UnansweredError) Verdict() verdict.Verdict { return verdict.MayHaveRun }

// Client calls one host's administration API.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the API at base with an operator's key.
func New(base, key string, transport http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Transport: &answerhead.Transport{Base: transport}}}
}

// Inventory returns the inventory in force on the host.
func (c *Client) Inventory(ctx context.Context) (adminapi.InventoryResult, error) {
	var result adminapi.InventoryResult
	return result, c.call(ctx, http.MethodGet, "/v1/inventory", nil, &result)
}

// Change requests a change of the inventory.
func (c *Client) Change(ctx context.Context, req adminapi.ChangeRequest) (adminapi.ChangeResult, error) {
	var result adminapi.ChangeResult
	if err := c.call(ctx, http.MethodPost, "/v1/changes", req, &result); err != nil {
		return result, err
	}
	if !isResultOf(result, req) {
		return result, &UnansweredError{Cause: errors.Errorf("the answer is not one to change %s", req.ChangeID)}
	}
	return result, nil
}

// isResultOf reports whether a result is one of a change: that it changed nothing, or what it changed.
func isResultOf(result adminapi.ChangeResult, req adminapi.ChangeRequest) bool {
	if result.DryRun || len(result.Ops) == 0 {
		return result.Ops != nil
	}
	return result.Revision > 0 && result.ChangeID == req.ChangeID
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
	if err := c.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/drain", nil, &result); err != nil {
		return err
	}
	if result["status"] != "draining" {
		return &UnansweredError{Cause: errors.Errorf("the answer does not say that %s is draining", host)}
	}
	return nil
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
	err = c.exchange(req, into)
	if method == http.MethodGet || err == nil || tellsOutcome(err) {
		return err
	}
	return &UnansweredError{Cause: err}
}

// tellsOutcome reports whether an error says what became of the call: the host's own, or that no
// connection was opened.
func tellsOutcome(err error) bool {
	var answered *APIError
	var network *net.OpError
	return errors.As(err, &answered) || errors.As(err, &network) && network.Op == "dial"
}

// exchange sends a request and decodes its result.
func (c *Client) exchange(req *http.Request, into any) error {
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
	if !hasContent(text) {
		return errNoResult
	}
	return errors.Wrap(json.Unmarshal(text, into), "decode response of the administration API")
}

// errNoResult is an answer of success without a result, which would be taken for an empty one.
var errNoResult = errors.New("administration API: answer without a result")

// hasContent reports whether a text is not empty, and more than an empty JSON object or null.
func hasContent(text []byte) bool {
	switch strings.Join(strings.Fields(string(text)), "") {
	case "", "null", "{}":
		return false
	default:
		return true
	}
}
