// Package hostlist reads the platform's host list, which reports, with some delay, which
// hosts are live and which are leaving.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/pkg/errors"
)

const (
	callTimeout  = 3 * time.Second
	maxListBytes = 8 << 20
)

// Client reads the host list as JSON over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the host list at a base URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{
		url:  strings.TrimSuffix(base, "/") + "/hosts",
		http: &http.Client{Transport: &answerhead.Transport{Base: transport}, Timeout: callTimeout},
	}
}

// Hosts reads the list once.
func (c *Client) Hosts(ctx context.Context) (fleet.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return fleet.List{}, errors.Wrap(err, "create host list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fleet.List{}, errors.Wrap(err, "read host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fleet.List{}, errors.Errorf("read host list: unexpected status %d", resp.StatusCode)
	}
	var list fleet.List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return fleet.List{}, errors.Wrap(err, "decode host list")
	}
	return list, nil
}
