// Package adminapi is the HTTP API for operators: they read and change the
// inventory and its rules, and inspect the state of hosts and requests.
package adminapi

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	maxChangeBytes     = 64 << 20
	defaultAuditLimit  = 50
	maxAuditLimit      = 1000
	operatorContextKey = "operator"
)

// Codes of error responses.
const (
	CodeUnauthorized = "unauthorized"
	CodeBadRequest   = "bad_request"
	CodeStale        = "stale_revision"
	CodeRejected     = "rejected"
	CodeUnknown      = "outcome_unknown"
	CodeUnavailable  = "platform_unavailable"
	CodeNotFound     = "not_found"
)

// ChangeRequest is the body of a change request. It contains either Ops or Document; a
// document replaces the whole inventory.
type ChangeRequest struct {
	ChangeID string              `json:"change_id"`
	From     inventory.Revision  `json:"from"`
	Note     string              `json:"note,omitempty"`
	Ops      []inventory.Op      `json:"ops,omitempty"`
	Document *inventory.Document `json:"document,omitempty"`
	DryRun   bool                `json:"dry_run,omitempty"`
}

// ChangeResult lists what a change did, or would do if it is a dry run.
type ChangeResult struct {
	Revision inventory.Revision `json:"revision"`
	ChangeID string             `json:"change_id,omitempty"`
	Ops      []inventory.Op     `json:"ops"`
	DryRun   bool               `json:"dry_run,omitempty"`
}

// InventoryResult is the inventory in force on this host.
type InventoryResult struct {
	Revision inventory.Revision `json:"revision"`
	inventory.Document
}

// ErrorResult is the JSON body of an error.
type ErrorResult struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
	// Current and Since are set if a change was based on an old revision: the revision in
	// force, and the changes accepted since.
	Current inventory.Revision `json:"current,omitempty"`
	Since   []configlog.Change `json:"since,omitempty"`
}

// Publisher publishes changes.
type Publisher interface {
	Publish(ctx context.Context, known *inventory.Snapshot, proposal configlog.Proposal, now time.Time) (configlog.Change, error)
}

// Auditor reads the audit trail.
type Auditor interface {
	Audit(ctx context.Context, limit int) ([]configlog.Change, error)
}

// Node is the part of this host that operators inspect and control.
type Node interface {
	Snapshot() *inventory.Snapshot
	// Accepted puts an accepted change in force on this host.
	Accepted(change configlog.Change)
	Status() Status
	// Explain returns how a request was handled, and false if no host knows it.
	Explain(ctx context.Context, request string) (dispatch.TraceReport, bool)
	// Drain makes an entry host not ready and makes it give up its runners.
	Drain(ctx context.Context, host string) error
}

// API is the HTTP API for operators.
type API struct {
	publisher Publisher
	auditor   Auditor
	node      Node
	operators credential.Holders
}

// New returns an API; operators maps the digests of keys to the operators' names.
func New(publisher Publisher, auditor Auditor, node Node, operators credential.Holders) *API {
	return &API{publisher: publisher, auditor: auditor, node: node, operators: operators}
}

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.GET("/healthz", func(c echo.Context) error { return c.JSON(http.StatusOK, map[string]string{"status": "ok"}) })
	api := e.Group("", a.authenticate)
	api.GET("/v1/inventory", a.inventory)
	api.POST("/v1/changes", a.change)
	api.GET("/v1/changes", a.audit)
	api.GET("/v1/status", a.status)
	api.GET("/v1/requests/:id", a.explain)
	api.POST("/v1/hosts/:host/drain", a.drain)
	api.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	api.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	api.GET("/debug/pprof/:name", func(c echo.Context) error {
		pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}

// authenticate identifies the operator by the request's key and refuses other requests.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, _ := credential.BearerDigest(c.Request().Header["Authorization"])
		operator, ok := a.operators.Holder(key)
		if !ok {
			return &apiError{status: http.StatusUnauthorized, body: ErrorResult{Code: CodeUnauthorized, Message: "no operator has this key", Verdict: verdict.NotRun}}
		}
		c.Set(operatorContextKey, operator)
		return next(c)
	}
}

type apiError struct {
	status int
	body   ErrorResult
}

func (e *apiError) Error() string { return e.body.Code + ": " + e.body.Message }

func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var known *apiError
	if errors.As(err, &known) {
		_ = c.JSON(known.status, known.body)
		return
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		_ = c.JSON(httpError.Code, ErrorResult{Code: CodeBadRequest, Message: http.StatusText(httpError.Code), Verdict: verdict.NotRun})
		return
	}
	_ = c.JSON(http.StatusInternalServerError, ErrorResult{Code: "internal", Message: err.Error(), Verdict: verdict.MayHaveRun})
}

func badRequest(message string) error {
	return &apiError{status: http.StatusBadRequest, body: ErrorResult{Code: CodeBadRequest, Message: message, Verdict: verdict.NotRun}}
}

func (a *API) inventory(c echo.Context) error {
	snapshot := a.node.Snapshot()
	return c.JSON(http.StatusOK, InventoryResult{Revision: snapshot.Revision(), Document: snapshot.Document()})
}

// change publishes a change, or returns what a dry run would do.
func (a *API) change(c echo.Context) error {
	var req ChangeRequest
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return badRequest("not a change: " + err.Error())
	}
	if req.ChangeID == "" && !req.DryRun {
		return badRequest("change_id is missing: choose one, so that a lost answer can be found again")
	}
	snapshot := a.node.Snapshot()
	if req.Document != nil {
		if len(req.Ops) > 0 {
			return badRequest("give ops or document, not both")
		}
		req.Ops = inventory.Diff(snapshot, *req.Document)
	}
	if len(req.Ops) == 0 {
		return c.JSON(http.StatusOK, ChangeResult{Revision: snapshot.Revision(), Ops: []inventory.Op{}, DryRun: req.DryRun})
	}
	if req.DryRun {
		return a.dryRun(c, snapshot, req)
	}
	return a.publish(c, snapshot, req)
}

func (a *API) dryRun(c echo.Context, snapshot *inventory.Snapshot, req ChangeRequest) error {
	next, err := snapshot.Apply(snapshot.Revision()+1, req.Ops)
	if err != nil {
		return changeError(&configlog.RejectedError{Cause: err})
	}
	return c.JSON(http.StatusOK, ChangeResult{Revision: next.Revision(), Ops: req.Ops, DryRun: true})
}

func (a *API) publish(c echo.Context, snapshot *inventory.Snapshot, req ChangeRequest) error {
	operator, _ := c.Get(operatorContextKey).(string)
	proposal := configlog.Proposal{ChangeID: req.ChangeID, Operator: operator, From: req.From, Note: req.Note, Ops: req.Ops}
	change, err := a.publisher.Publish(c.Request().Context(), snapshot, proposal, time.Now())
	if err != nil {
		return changeError(err)
	}
	a.node.Accepted(change)
	return c.JSON(http.StatusOK, ChangeResult{Revision: change.Revision, ChangeID: change.ID, Ops: req.Ops})
}

// changeError converts the error of a change into its response.
func changeError(err error) error {
	body := ErrorResult{Message: err.Error(), Verdict: verdict.Of(err)}
	var stale *configlog.StaleError
	var rejected *configlog.RejectedError
	var unknown *configlog.OutcomeUnknownError
	switch {
	case errors.As(err, &stale):
		body.Code, body.Current, body.Since = CodeStale, stale.Current, stale.Since
		return &apiError{status: http.StatusConflict, body: body}
	case errors.As(err, &rejected):
		body.Code = CodeRejected
		return &apiError{status: http.StatusUnprocessableEntity, body: body}
	case errors.As(err, &unknown):
		body.Code = CodeUnknown
		return &apiError{status: http.StatusGatewayTimeout, body: body}
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrConflict):
		body.Code, body.Verdict = CodeUnavailable, verdict.NotRun
		return &apiError{status: http.StatusServiceUnavailable, body: body}
	default:
		body.Code = CodeUnavailable
		return &apiError{status: http.StatusServiceUnavailable, body: body}
	}
}

func (a *API) audit(c echo.Context) error {
	limit := defaultAuditLimit
	if text := c.QueryParam("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxAuditLimit {
			return badRequest("limit: want 1 to " + strconv.Itoa(maxAuditLimit))
		}
		limit = number
	}
	trail, err := a.auditor.Audit(c.Request().Context(), limit)
	if err != nil {
		return &apiError{status: http.StatusServiceUnavailable, body: ErrorResult{Code: CodeUnavailable, Message: err.Error(), Verdict: verdict.NotRun}}
	}
	if trail == nil {
		trail = []configlog.Change{}
	}
	return c.JSON(http.StatusOK, trail)
}

func (a *API) status(c echo.Context) error { return c.JSON(http.StatusOK, a.node.Status()) }

func (a *API) explain(c echo.Context) error {
	id := c.Param("id")
	report, ok := a.node.Explain(c.Request().Context(), id)
	if !ok {
		return &apiError{status: http.StatusNotFound, body: ErrorResult{Code: CodeNotFound, Message: "no host remembers request " + id, Verdict: verdict.NotRun}}
	}
	return c.JSON(http.StatusOK, report)
}

func (a *API) drain(c echo.Context) error {
	if err := a.node.Drain(c.Request().Context(), c.Param("host")); err != nil {
		return &apiError{status: http.StatusNotFound, body: ErrorResult{Code: CodeNotFound, Message: err.Error(), Verdict: verdict.NotRun}}
	}
	return c.JSON(http.StatusOK, map[string]string{"status": "draining"})
}
