// Package answer writes the answers to callers' requests. Each request ends with a whole answer, with
// a failure of this host's own, or with a broken connection.
//
// net/http completes a handler that returns without having written anything as an empty success, and
// an answer that ends early as a whole one. A Writer completes nothing by itself: an answer is whole
// only once that was said, so a path that forgets its caller ends as a failure.
package answer

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoStatus is returned for content that is written before a status.
var ErrNoStatus = errors.New("content of an answer without a status")

// ErrBegun is returned for a whole answer behind the beginning of another.
var ErrBegun = errors.New("another answer has begun")

// ErrStopping is the cause with which a request's context ends because its host is about to end. Its
// caller still waits.
var ErrStopping = errors.New("this host is stopping")

// Outcome is how the answer to a request ended.
type Outcome uint8

// Outcomes of an answer.
const (
	// Whole means that the answer was written to its end.
	Whole Outcome = iota
	// Cut means that the answer broke off: the connection must be closed.
	Cut
	// Left means that the caller left before anything was written: the connection must be closed.
	Left
	// Missing means that nothing had been written, so that End answered with a failure.
	Missing
)

// Writer is the http.ResponseWriter of one request. It is safe for concurrent use, apart from Header.
type Writer struct {
	// OnHeader is called before the answer's header is written. It may be nil.
	OnHeader func(header http.Header)
	// MissingHeader is the header of the failure that stands for a missing answer. It may be nil.
	MissingHeader http.Header

	mu     sync.Mutex
	inner  http.ResponseWriter
	header http.Header
	// begun is set once the header has been written, whole once the answer is, ended by End.
	begun, whole, ended bool
	callerLeft          bool
}

var _ http.ResponseWriter = (*Writer)(nil)

// NewWriter returns a writer on top of net/http's.
func NewWriter(inner http.ResponseWriter) *Writer {
	return &Writer{inner: inner, header: http.Header{}}
}

// Header returns the header that WriteHeader sends. Interim answers have none of it.
func (w *Writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(status)
}

func (w *Writer) writeHeader(status int) {
	if w.begun || w.ended {
		return
	}
	if w.OnHeader != nil {
		w.OnHeader(w.header)
	}
	maps.Copy(w.inner.Header(), w.header)
	w.begun = true
	w.inner.WriteHeader(status)
}

// Write implements http.ResponseWriter. It returns ErrNoStatus before WriteHeader.
func (w *Writer) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.write(data)
}

func (w *Writer) write(data []byte) (int, error) {
	switch {
	case w.ended:
		return 0, http.ErrHandlerTimeout
	case !w.begun:
		return 0, ErrNoStatus
	}
	return w.inner.Write(data)
}

// FlushError sends what has been written. http.ResponseController calls it.
func (w *Writer) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun {
		return ErrNoStatus
	}
	return http.NewResponseController(w.inner).Flush()
}

// Unwrap returns net/http's writer, for the other methods of http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.inner }

// Begun reports whether the answer's header has been written.
func (w *Writer) Begun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun
}

// Complete says that what was written is the whole answer. Trailers that the header announces are
// sent as they are now.
func (w *Writer) Complete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.complete()
}

func (w *Writer) complete() {
	if !w.begun || w.ended {
		return
	}
	for _, name := range w.header["Trailer"] {
		w.inner.Header()[http.CanonicalHeaderKey(name)] = w.header[http.CanonicalHeaderKey(name)]
	}
	w.whole = true
}

// WriteWhole writes a whole answer, with its length.
func (w *Writer) WriteWhole(status int, body []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeWhole(status, body)
}

func (w *Writer) writeWhole(status int, body []byte) error {
	if w.begun {
		return ErrBegun
	}
	w.header.Set("Content-Length", strconv.Itoa(len(body)))
	w.writeHeader(status)
	_, err := w.write(body)
	if err == nil {
		w.complete()
	}
	return err
}

// WriteOwn writes an answer that no runner gave, as plain text. A status of success becomes
// http.StatusInternalServerError: such an answer must not be taken for a runner's.
func (w *Writer) WriteOwn(status int, text string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeOwn(status, text)
}

func (w *Writer) writeOwn(status int, text string) error {
	if status < http.StatusMultipleChoices {
		status = http.StatusInternalServerError
	}
	w.header.Set("Content-Type", "text/plain; charset=utf-8")
	w.header.Set("X-Content-Type-Options", "nosniff")
	return w.writeWhole(status, []byte(strings.TrimSpace(text)+"\n"))
}

// Interim sends an interim answer, which callers skip, unless the answer has begun. It reports whether
// it did.
func (w *Writer) Interim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun || w.ended {
		return false
	}
	w.inner.WriteHeader(http.StatusContinue)
	return true
}

// CallerLeft says that nobody waits for the answer any more.
func (w *Writer) CallerLeft() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callerLeft = true
}

// End ends the answer after its handler, however that ended. Nothing is written after it.
func (w *Writer) End() Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer func() { w.ended = true }()
	switch {
	case w.whole:
		// net/http reads the rest of the request's body before it sends the header.
		_ = http.NewResponseController(w.inner).Flush()
		return Whole
	case w.begun:
		return Cut
	case w.callerLeft:
		return Left
	default:
		clear(w.header)
		maps.Copy(w.header, w.MissingHeader)
		_ = w.writeOwn(http.StatusInternalServerError, "the request ended without an answer")
		return Missing
	}
}
