package plain

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// End is what shows that an answer is whole.
type End string

// Ends of answers.
const (
	EndNoBody End = "no body is due"
	EndLength End = "length"
	EndChunk  End = "last chunk"
	EndJSON   End = "complete JSON"
)

// errUnprovenEnd is why an answer is not passed on although its body was read to its end.
var errUnprovenEnd = errors.New("the answer has neither a length nor chunks, and nothing shows that it is whole")

// endOf returns what shows that an answer whose body was read to its end is whole, "" if nothing does.
//
// A body with neither a length nor chunks ends with its connection, as it does where the service's process
// ends in the middle: the caller would take a part for the whole answer. A JSON value shows its own end, apart
// from a number, whose beginning is a number too.
func endOf(resp *http.Response, body []byte) End {
	switch {
	case resp.Request.Method == http.MethodHead:
		return EndNoBody
	case resp.ContentLength >= 0:
		return EndLength
	case len(resp.TransferEncoding) > 0:
		return EndChunk
	case isJSON(resp.Header) && endsItself(body):
		return EndJSON
	default:
		return ""
	}
}

func isJSON(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// endsItself reports whether a text is a JSON value of which no beginning is one too.
func endsItself(text []byte) bool {
	if !json.Valid(text) {
		return false
	}
	value := bytes.TrimSpace(text)
	last := value[len(value)-1]
	return last < '0' || last > '9'
}
