// Package answer writes the answers to callers' requests, and knows whether a request got one.
package answer

import (
	"net/http"
)

// Writer is the http.ResponseWriter of one request.
type Writer struct {
	inner  http.ResponseWriter
	status int
}

// NewWriter returns a writer on top of net/http's.
func NewWriter(inner http.ResponseWriter) *Writer { return &Writer{inner: inner} }

// Header implements http.ResponseWriter.
func (w *Writer) Header() http.Header { return w.inner.Header() }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	w.status = status
	w.inner.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.inner.Write(data)
}

// Unwrap returns net/http's writer, for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.inner }

// Begun reports whether the answer's header has been written.
func (w *Writer) Begun() bool { return w.status != 0 }
