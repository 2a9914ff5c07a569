// Package callerapi is the HTTP API for callers: completions in the form that model
// servers commonly offer, the list of models, and plain services.
package callerapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/plain"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Headers of this API.
const (
	HeaderVerdict        = "Cherrystage-Verdict"
	HeaderIdempotent     = "Cherrystage-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
)

// Codes of refusals before a request is dispatched.
const (
	codeUnauthorized = "unauthorized"
	codeForbidden    = "forbidden"
	codeUnknownModel = "unknown_model"
	codeBadRequest   = "bad_request"
	codeTooLarge     = "too_large"
	codeNotReady     = "not_ready"
)

const (
	// maxKeyLength is the maximum length of a request ID or an idempotency key, in bytes.
	maxKeyLength = 256
)

// Dispatcher serves requests.
type Dispatcher interface {
	// Complete passes the pieces of an answer on in order. It returns nil after a whole answer.
	Complete(ctx context.Context, req dispatch.Request, pass func(engine.Piece) error) *dispatch.Refusal
	// Service forwards a call to a plain service.
	Service(ctx context.Context, req dispatch.Request, call plain.Call) (plain.Answer, *dispatch.Refusal)
}

// Inventory provides the snapshot in force.
type Inventory interface{ Snapshot() *inventory.Snapshot }

// RequestLimiter counts the requests in progress, to limit them and for graceful shutdown.
type RequestLimiter interface {
	// Begin returns false if too many requests are in progress.
	Begin() bool
	End()
}

// API is the HTTP API for callers.
type API struct {
	dispatcher Dispatcher
	inventory  Inventory
	limiter    RequestLimiter
	state      State
	maxBody    int64
	log        hclog.Logger
	// Unanswered counts the requests whose handler ended without having written anything.
	Unanswered atomic.Int64
}

// State is what the API asks of its host.
type State interface {
	// Ready reports whether this host takes requests.
	Ready() bool
	// Stopping reports whether requests are refused, and connections closed after their answers.
	Stopping() bool
}

// New returns an API.
func New(dispatcher Dispatcher, inv Inventory, limiter RequestLimiter, state State, maxBody int64, log hclog.Logger) *API {
	return &API{dispatcher: dispatcher, inventory: inv, limiter: limiter, state: state, maxBody: maxBody, log: log}
}

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	router := a.router()
	serve := func(ctx context.Context, w *answer.Writer, r *http.Request) {
		w.MissingHeader = http.Header{HeaderVerdict: {verdict.MayHaveRun.String()}}
		router.ServeHTTP(w, r.WithContext(ctx))
	}
	return &callerconn.Handler{Serve: serve, Closing: a.state.Stopping, RequestID: requestID, Log: a.log, Unanswered: &a.Unanswered}
}

func requestID(r *http.Request) string { return r.Header.Get(HeaderRequestID) }

func (a *API) router() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.Pre(a.refuseWhileStopping)
	e.GET("/readyz", a.readyz)
	e.GET("/v1/models", a.models)
	e.POST("/v1/completions", a.complete)
	e.POST("/v1/chat/completions", a.complete)
	e.Any("/services/:service", a.service)
	e.Any("/services/:service/*", a.service)
	return e
}

// refuseWhileStopping refuses what is still read on kept connections, so that the last answer on each
// closes it.
func (a *API) refuseWhileStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !a.state.Stopping() {
			return next(c)
		}
		return &dispatch.Refusal{
			Status: http.StatusServiceUnavailable, Code: dispatch.CodeStopping, Message: "this host is stopping",
			Verdict: verdict.NotRun, RetryAfter: time.Second,
		}
	}
}

func (a *API) readyz(c echo.Context) error {
	if !a.state.Ready() {
		return writeJSON(c, http.StatusServiceUnavailable, map[string]string{"status": codeNotReady})
	}
	return writeJSON(c, http.StatusOK, map[string]string{"status": "ready"})
}

func refuse(status int, code, message string) *dispatch.Refusal {
	return &dispatch.Refusal{Status: status, Code: code, Message: message, Verdict: verdict.NotRun}
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
}

// handleError writes every refusal in the same form.
func handleError(err error, c echo.Context) {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		refusal = refusalFromError(err)
	}
	if writerOf(c).Begun() {
		return
	}
	header := c.Response().Header()
	header.Set(HeaderVerdict, refusal.Verdict.String())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	_ = writeJSON(c, errorStatus(refusal), errorBody{Code: refusal.Code, Message: refusal.Message, Verdict: refusal.Verdict})
}

// errorStatus returns the status of a refusal, which must not be taken for a success.
func errorStatus(refusal *dispatch.Refusal) int {
	if refusal.Status < http.StatusBadRequest {
		return http.StatusInternalServerError
	}
	return refusal.Status
}

// refusalFromError converts other errors. Those of the HTTP library occur before a
// request is dispatched; any other one may have occurred after.
func refusalFromError(err error) *dispatch.Refusal {
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return refuse(httpError.Code, codeBadRequest, http.StatusText(httpError.Code))
	}
	return &dispatch.Refusal{Status: http.StatusInternalServerError, Code: "internal", Message: "internal error", Verdict: verdict.MayHaveRun}
}

// authenticate returns the caller that sends the request.
func (a *API) authenticate(c echo.Context, snapshot *inventory.Snapshot) (inventory.Caller, error) {
	key, found := credential.BearerDigest(c.Request().Header["Authorization"])
	if !found {
		return inventory.Caller{}, refuse(http.StatusUnauthorized, codeUnauthorized, "no bearer key")
	}
	caller, ok := snapshot.CallerByKey(key)
	if !ok {
		return inventory.Caller{}, refuse(http.StatusUnauthorized, codeUnauthorized, "unknown key")
	}
	return caller, nil
}

func (a *API) readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writerOf(c).Unwrap(), c.Request().Body, a.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, codeTooLarge, "body over "+strconv.FormatInt(a.maxBody, 10)+" bytes")
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, codeBadRequest, "body not read: "+err.Error())
	}
	return body, nil
}

// newRequest sets the fields that all requests have.
func newRequest(c echo.Context, caller inventory.Caller, policy inventory.Policy) (dispatch.Request, error) {
	header := c.Request().Header
	id := header.Get(HeaderRequestID)
	if id == "" {
		id = newID()
	}
	key := header.Get(HeaderIdempotencyKey)
	if len(id) > maxKeyLength || len(key) > maxKeyLength {
		return dispatch.Request{}, refuse(http.StatusBadRequest, codeBadRequest, "X-Request-Id and Idempotency-Key take up to 256 characters")
	}
	c.Response().Header().Set(HeaderRequestID, id)
	return dispatch.Request{
		ID: id, Caller: caller.Name, Weight: caller.Weight, Priority: policy.Priority,
		Path:           c.Request().URL.Path,
		Idempotent:     !policy.NonIdempotent && header.Get(HeaderIdempotent) != "false",
		IdempotencyKey: key,
	}, nil
}

func newID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Base     string   `json:"base"`
	Current  string   `json:"current"`
	Versions []string `json:"versions"`
}

// models lists the adapters that the caller may use.
func (a *API) models(c echo.Context) error {
	snapshot := a.inventory.Snapshot()
	caller, err := a.authenticate(c, snapshot)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, adapter := range snapshot.Adapters() {
		if inventory.Allows(adapter.Callers, caller.Name) {
			list.Data = append(list.Data, modelEntry{ID: adapter.Name, Object: "model", Base: adapter.Base, Current: adapter.Current, Versions: adapter.Versions})
		}
	}
	return writeJSON(c, http.StatusOK, list)
}

// service forwards a request to a plain service.
func (a *API) service(c echo.Context) error {
	snapshot := a.inventory.Snapshot()
	caller, err := a.authenticate(c, snapshot)
	if err != nil {
		return err
	}
	name := c.Param("service")
	service, ok := snapshot.Service(name)
	if !ok || !inventory.Allows(service.Callers, caller.Name) {
		return refuse(http.StatusNotFound, codeUnknownModel, "no service "+name+" for this caller")
	}
	path := "/" + strings.TrimPrefix(c.Param("*"), "/")
	body, err := a.readBody(c)
	if err != nil {
		return err
	}
	req, err := newRequest(c, caller, snapshot.PolicyFor(caller, "", name, path))
	if err != nil {
		return err
	}
	req.Service = name
	if !a.limiter.Begin() {
		return tooManyRequests()
	}
	defer a.limiter.End()
	call := plain.Call{
		Method: c.Request().Method, Path: path, Query: c.Request().URL.RawQuery,
		Header: c.Request().Header, Body: body, TraceID: req.ID,
	}
	got, refusal := a.dispatcher.Service(c.Request().Context(), req, call)
	if refusal != nil {
		return refusal
	}
	return writeAnswer(c, got)
}

func tooManyRequests() error {
	return &dispatch.Refusal{
		Status: http.StatusServiceUnavailable, Code: dispatch.CodeOverloaded,
		Message: "too many requests are under way on this host", Verdict: verdict.NotRun, RetryAfter: time.Second,
	}
}

// writeAnswer passes a service's answer on. One without a body has the length that the service gave
// it, which is that of a body not sent.
func writeAnswer(c echo.Context, got plain.Answer) error {
	w := writerOf(c)
	header := w.Header()
	maps.Copy(header, got.Header)
	outcome := verdict.Ran
	if got.Status >= http.StatusInternalServerError {
		// The service failed; how much of the request ran is unknown.
		outcome = verdict.MayHaveRun
	}
	header.Set(HeaderVerdict, outcome.String())
	if c.Request().Method != http.MethodHead && got.Status != http.StatusNoContent && got.Status != http.StatusNotModified {
		return w.WriteWhole(got.Status, got.Body)
	}
	w.WriteHeader(got.Status)
	w.Complete()
	return nil
}

// completionBody holds the decoded fields of a caller's request; all others are passed on.
type completionBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// complete serves a completion.
func (a *API) complete(c echo.Context) error {
	snapshot := a.inventory.Snapshot()
	caller, err := a.authenticate(c, snapshot)
	if err != nil {
		return err
	}
	raw, err := a.readBody(c)
	if err != nil {
		return err
	}
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return refuse(http.StatusBadRequest, codeBadRequest, "body is not a completion request: "+err.Error())
	}
	req, err := a.buildRequest(c, snapshot, caller, body.Model, raw)
	if err != nil {
		return err
	}
	if !a.limiter.Begin() {
		return tooManyRequests()
	}
	defer a.limiter.End()
	if body.Stream {
		return a.completeStream(c, req)
	}
	return a.completeWhole(c, req)
}

// buildRequest resolves the adapter's version and checks that the caller may use it.
func (a *API) buildRequest(c echo.Context, snapshot *inventory.Snapshot, caller inventory.Caller, model string, raw []byte) (dispatch.Request, error) {
	if model == "" {
		return dispatch.Request{}, refuse(http.StatusBadRequest, codeBadRequest, "the field model is missing: it names the adapter, or ADAPTER@VERSION")
	}
	adapter, version, err := snapshot.Resolve(model)
	if err != nil {
		return dispatch.Request{}, refuse(http.StatusNotFound, codeUnknownModel, err.Error())
	}
	if !inventory.Allows(adapter.Callers, caller.Name) {
		return dispatch.Request{}, refuse(http.StatusForbidden, codeForbidden, "caller "+caller.Name+" may not use adapter "+adapter.Name)
	}
	req, err := newRequest(c, caller, snapshot.PolicyFor(caller, adapter.Name, "", c.Request().URL.Path))
	if err != nil {
		return dispatch.Request{}, err
	}
	req.Model = inventory.ModelName(adapter.Name, version)
	req.Base = adapter.Base
	req.Body, err = engineBody(raw, req.Model)
	return req, err
}

// engineBody returns the body with the versioned model name and with streaming enabled.
// Only a stream shows whether the engine is silent and whether the pieces are complete
// and in order.
func engineBody(raw []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return nil, refuse(http.StatusBadRequest, codeBadRequest, "body is not a JSON object")
	}
	// Names that differ only in case are removed too: some engines would use the
	// caller's "Model" instead of the name that was checked.
	maps.DeleteFunc(fields, func(name string, _ json.RawMessage) bool {
		return strings.EqualFold(name, "model") || strings.EqualFold(name, "stream")
	})
	name, err := json.Marshal(model)
	if err != nil {
		return nil, errors.Wrap(err, "encode model name")
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
