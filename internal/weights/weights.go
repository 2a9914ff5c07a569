// Package weights is the client of the weight store, which limits the rate of adapter
// loads. Engines fetch the weights themselves.
package weights

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/pkg/errors"
)

const (
	callTimeout    = 3 * time.Second
	maxAnswerBytes = 4 << 10
)

// Limits are the weight store's current limits for the whole deployment.
type Limits struct {
	// PerSecond is the number of loads per second.
	PerSecond float64 `json:"per_second"`
}

// Client reads the limits over HTTP with JSON.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the weight store at base.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{
		url:  strings.TrimSuffix(base, "/") + "/weights/limits",
		http: &http.Client{Transport: &answerhead.Transport{Base: transport}, Timeout: callTimeout},
	}
}

// Limits reads the limits. It returns an error for limits that allow no loads: one wrong
// response would otherwise stop all loads.
func (c *Client) Limits(ctx context.Context) (Limits, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return Limits{}, errors.Wrap(err, "weight store")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Limits{}, errors.Wrap(err, "weight store")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Limits{}, errors.Errorf("weight store: status %d", resp.StatusCode)
	}
	var limits Limits
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&limits); err != nil {
		return Limits{}, errors.Wrap(err, "weight store")
	}
	if limits.PerSecond <= 0 {
		return Limits{}, errors.Errorf("weight store: %g loads a second", limits.PerSecond)
	}
	return limits, nil
}
