// Package answerhead refuses answers whose heads are none of HTTP. net/http reads some of them all the same.
package answerhead

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// The statuses of final answers (RFC 9110, section 15).
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

const (
	// maxInterimBytes bounds the heads of all interim answers to a request.
	maxInterimBytes = 64 << 10
	// statusLineBytes is the least that the head of one counts for.
	statusLineBytes = 25
)

// ErrMalformed is wrapped by the error of an answer that is refused.
var ErrMalformed = errors.New("malformed answer")

// Check returns an error that wraps ErrMalformed unless the head of a final answer is one of HTTP.
//
// net/http's server panics as it writes a status below 100, and completes no request with one of an interim
// answer: a caller to which these were passed on would get nothing.
func Check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %03d ends no request", response.StatusCode)
	}
	return checkNames(response.Header)
}

// checkNames returns an error if the name of a field is none of HTTP.
//
// net/http lets names with blanks through and takes them for other ones. Behind "Content-Length " or
// "Transfer-Encoding " the body does not end where its sender means, and what frames it becomes a part of it.
func checkNames(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field %q", name)
		}
	}
	return nil
}

// withInterimsChecked returns a context whose request fails with the error of the heads of its interim answers.
func withInterimsChecked(ctx context.Context) context.Context {
	// A trace of its own for each request: WithClientTrace adds the hooks that are in ctx to it.
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: (&interims{}).check})
}

// interims are the interim answers to one request.
type interims struct{ bytes int }

// check checks the head of the next one. net/http bounds them only where nothing asks for them: a server in trouble may
// send them without an end.
func (i *interims) check(_ int, header textproto.MIMEHeader) error {
	i.bytes += statusLineBytes
	for name, values := range header {
		for _, value := range values {
			i.bytes += len(name) + len(value)
		}
	}
	if i.bytes > maxInterimBytes {
		return errors.Wrapf(ErrMalformed, "interim answers of over %d bytes", maxInterimBytes)
	}
	return checkNames(header)
}

// Transport is a transport that returns the error of Check instead of a malformed answer, and an error that wraps
// ErrMalformed for one behind a malformed interim answer. Trailers are left: the body before one is whole.
//
// A Base that is nil stands for http.DefaultTransport, as in http.Client.
type Transport struct{ Base http.RoundTripper }

func (t *Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base().RoundTrip(request.WithContext(withInterimsChecked(request.Context())))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below. http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
