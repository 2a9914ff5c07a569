// Package answerhead refuses answers whose heads are none of HTTP. net/http reads some of them all the same.
package answerhead

import (
	"net/http"

	"github.com/pkg/errors"
)

// The statuses of final answers (RFC 9110, section 15).
const (
	minStatus = http.StatusOK
	maxStatus = 599
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
	return nil
}

// Transport is a transport that returns the error of Check instead of a malformed answer. A Base that is nil stands for
// http.DefaultTransport, as in http.Client.
type Transport struct{ Base http.RoundTripper }

func (t *Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base().RoundTrip(request)
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
