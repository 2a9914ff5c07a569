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

// OrderError reports an order that the engine did not confirm.
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

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error { return e.cause }

// Verdict reports whether the engine may have executed the order or may still do so.
func (e *OrderError) Verdict() verdict.Verdict { return e.verdict }

// Order sends an order and waits until the engine confirms it. Each order uses a
// new connection, so that the transport never sends it twice.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.OrderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return &OrderError{Order: order, Code: "encode", verdict: verdict.NotRun, cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return &OrderError{Order: order, Code: "encode", verdict: verdict.NotRun, cause: err}
	}
	req.GetBody = nil
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return &OrderError{Order: order, Code: CodeNoAnswer, verdict: sendVerdict(err), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	var refusal ErrorResponse
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&refusal)
	orderErr := &OrderError{Order: order, Code: refusal.Code, verdict: verdict.NotRun}
	if refusal.Code == "" {
		orderErr.Code = resp.Status
		orderErr.verdict = verdict.MayHaveRun
	}
	return orderErr
}

// sendVerdict returns the verdict for an order without a response. One whose dial
// failed was not sent.
func sendVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Report fetches an engine's load report.
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
