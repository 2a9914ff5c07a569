package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// OrderError is an order that was not confirmed.
type OrderError struct {
	Order   Order
	Code    string
	verdict verdict.Verdict
	cause   error
}

// Error implements error.
func (e *OrderError) Error() string {
	text := "order to " + string(e.Order.Kind) + " " + e.Order.Model + ": " + e.Code
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap gives the cause.
func (e *OrderError) Unwrap() error { return e.cause }

// Verdict says whether the engine may yet carry the order out.
func (e *OrderError) Verdict() verdict.Verdict { return e.verdict }

// Order sends an order and waits until the engine confirms it. Orders take a
// connection of their own, so that none is sent twice by the transport.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.OrderTimeout)
	defer cancel()
	text, err := json.Marshal(order)
	if err != nil {
		return &OrderError{Order: order, Code: "encode", verdict: verdict.NotRun, cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(text))
	if err != nil {
		return &OrderError{Order: order, Code: "encode", verdict: verdict.NotRun, cause: err}
	}
	req.GetBody = nil
	resp, err := c.fresh.Do(req)
	if err != nil {
		return &OrderError{Order: order, Code: CodeNoAnswer, verdict: sendVerdict(err), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	var refusal ErrorResponse
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&refusal)
	failed := &OrderError{Order: order, Code: refusal.Code, verdict: verdict.NotRun}
	if refusal.Code == "" {
		failed.Code = resp.Status
		failed.verdict = verdict.MayHaveRun
	}
	return failed
}

// sendVerdict: an order that found no connection was not sent.
func sendVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Report asks for an engine's load report.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "load report")
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return Report{}, errors.Wrap(err, "load report")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Report{}, errors.Errorf("load report: status %d", resp.StatusCode)
	}
	var report Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report)
	return report, errors.Wrap(err, "load report")
}
