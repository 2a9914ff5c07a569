package objectapi_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// clientOf returns a client of an API that answers each request with a text and closes the connection.
func clientOf(text string) *objectapi.Client {
	return objectapi.NewClient("http://api", &http.Transport{DisableKeepAlives: true, DialContext: standin.DialAnswering(text)})
}

// The object API ends in the middle of an answer. The version comes before the value: the host would hold a
// part of a value under the version of the whole one.
func TestPartOfAValueIsNoValue(t *testing.T) {
	const value = `{"version":7,"changes":["a","b"]}`
	head := "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
	for _, part := range []string{"Content-Length: 33\r\n\r\n" + value[:32], "Transfer-Encoding: chunked\r\n\r\n21\r\n" + value + "\r\n"} {
		_, err := clientOf(head+part).Get(t.Context(), "k")
		must.ErrorIs(t, err, objectapi.ErrUnavailable)
	}
	for _, whole := range []string{"Content-Length: 33\r\n\r\n" + value, "Transfer-Encoding: chunked\r\n\r\n21\r\n" + value + "\r\n0\r\n\r\n"} {
		object, err := clientOf(head+whole).Get(t.Context(), "k")
		must.NoError(t, err)
		must.Eq(t, value, string(object.Value))
	}
}

// The object API ends in the middle of a listing or a watch that ends with its connection. Objects that are missing would count as removed.
func TestPartOfAListingIsNoListing(t *testing.T) {
	const listing = `{"objects":[{"key":"a","version":3,"value":"e30="}],"version":9}`
	for length := range len(listing) {
		client := clientOf("HTTP/1.1 200 OK\r\n\r\n" + listing[:length])
		_, err := client.List(t.Context(), "k")
		must.ErrorIs(t, err, objectapi.ErrUnavailable)
		_, err = client.Watch(t.Context(), "k", 3, time.Millisecond)
		must.ErrorIs(t, err, objectapi.ErrUnavailable)
	}
}

// The object API answers with a head that is none of HTTP. Its version would be that of a write or of a value that it does
// not have.
func TestMalformedAnswerAcknowledgesNothing(t *testing.T) {
	for _, malformed := range standin.MalformedAnswers {
		t.Run(malformed.Name, func(t *testing.T) {
			client := clientOf(malformed.Text("200 OK", "ETag: \"7\"\r\nContent-Length: 2\r\n", "{}"))
			_, err := client.Get(t.Context(), "k")
			must.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.List(t.Context(), "k")
			must.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Watch(t.Context(), "k", 3, time.Millisecond)
			must.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Put(t.Context(), "k", []byte("{}"), 6)
			must.ErrorIs(t, err, objectapi.ErrAnswerLost)
			must.ErrorIs(t, client.Delete(t.Context(), "k", 6), objectapi.ErrAnswerLost)
		})
	}
}
