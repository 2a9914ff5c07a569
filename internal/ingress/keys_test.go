package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

const testKey = "key-of-the-harbour"

func harbourWorkspaces() *site.Workspaces {
	return site.NewWorkspaces([]*site.Workspace{{Name: "harbour", Keys: []credential.Digest{credential.Of(testKey)}}})
}

// postWithAuthorization returns a POST request with an Authorization header.
func postWithAuthorization(path, authorization string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: q\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n%s", path, authorization, length, strings.Repeat("x", length))
}

// Callers send a key, a wrong one, or none. Only a valid key gives access to a route, and the
// request then belongs to the key's workspace; a public route is open to all.
func TestOnlyValidKeysGiveAccess(t *testing.T) {
	for name, test := range map[string]struct {
		workspaces   *site.Workspaces
		text         string
		status       int
		workspace    string
		keysEnforced bool
	}{
		"its key":                       {harbourWorkspaces(), postWithAuthorization("/a/x", "Bearer "+testKey, 3), http.StatusOK, "harbour", true},
		"another key":                   {harbourWorkspaces(), postWithAuthorization("/a/x", "Bearer other", 3), http.StatusUnauthorized, "", true},
		"no key":                        {harbourWorkspaces(), post("/a/x", 3), http.StatusUnauthorized, "", true},
		"another scheme":                {harbourWorkspaces(), postWithAuthorization("/a/x", "Basic "+testKey, 3), http.StatusUnauthorized, "", true},
		"public, no key":                {harbourWorkspaces(), post("/open/x", 3), http.StatusOK, "", true},
		"public, another key":           {harbourWorkspaces(), postWithAuthorization("/open/x", "Bearer other", 3), http.StatusOK, "", true},
		"public, its key":               {harbourWorkspaces(), postWithAuthorization("/open/x", "Bearer "+testKey, 3), http.StatusOK, "harbour", true},
		"no workspace is listed":        {site.NewWorkspaces(nil), postWithAuthorization("/a/x", "Bearer "+testKey, 3), http.StatusUnauthorized, "", true},
		"last key removed":              {site.NewWorkspaces([]*site.Workspace{{Name: "harbour"}}), postWithAuthorization("/a/x", "Bearer "+testKey, 3), http.StatusUnauthorized, "", true},
		"keys not enforced, no key":     {nil, post("/a/x", 3), http.StatusOK, "", false},
		"keys not enforced, with a key": {nil, postWithAuthorization("/a/x", "Bearer "+testKey, 3), http.StatusOK, "", false},
		"no route, no key":              {harbourWorkspaces(), post("/b/x", 3), http.StatusNotFound, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			withIngressConfig(t, configWith(test.workspaces), func(e *testIngress) {
				response := e.send(test.text)
				must.Eq(t, test.status, response.StatusCode)
				if test.status != http.StatusOK {
					must.SliceEmpty(t, e.served)
					return
				}
				must.Eq(t, test.workspace, e.served[0].WorkspaceName())
				must.Eq(t, test.keysEnforced, e.served[0].Caller.KeysEnforced)
			})
		})
	}
}

// A caller without a key sends its body two seconds after the header. It is answered at once,
// and its next request on the connection, with the key, is served.
func TestAnswerWithoutAKeyDoesNotWaitForTheBody(t *testing.T) {
	withIngressConfig(t, configWith(harbourWorkspaces()), func(e *testIngress) {
		conn, err := e.net.Host("caller").Dial(e.t.Context(), "tcp", "entry:80")
		must.NoError(t, err)
		begin := time.Now()
		response := e.sendOn(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 5\r\n\r\n")
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
		must.False(t, response.Close)
		must.Less(t, 100*time.Millisecond, time.Since(begin))
		time.Sleep(2 * time.Second)
		_, err = conn.Write([]byte("12345"))
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, e.sendOn(conn, postWithAuthorization("/a/x", "Bearer "+testKey, 3)).StatusCode)
		must.Eq(t, "xxx", string(e.served[0].Body))
	})
}

// The body of a request without a key contains a second request. It is discarded as a body, and
// the second request is not served.
func TestBodyOfUnauthorizedRequestIsNotServed(t *testing.T) {
	withIngressConfig(t, configWith(harbourWorkspaces()), func(e *testIngress) {
		conn, err := e.net.Host("caller").Dial(e.t.Context(), "tcp", "entry:80")
		must.NoError(t, err)
		hidden := postWithAuthorization("/a/hidden", "Bearer "+testKey, 0)
		first := fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden)
		must.Eq(t, http.StatusUnauthorized, e.sendOn(conn, first).StatusCode)
		must.Eq(t, http.StatusOK, e.sendOn(conn, postWithAuthorization("/a/y", "Bearer "+testKey, 0)).StatusCode)
		must.Len(t, 1, e.served)
		must.Eq(t, "/a/y", e.served[0].Target)
	})
}

// A caller without a key sends Expect: 100-continue, and no body after the 401. If the host
// waited for the body, it would take the caller's next request for it. The connection is closed.
func TestUnauthorizedExpectContinue(t *testing.T) {
	withIngressConfig(t, configWith(harbourWorkspaces()), func(e *testIngress) {
		begin := time.Now()
		response := e.send("POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
		must.True(t, response.Close)
		must.Less(t, 100*time.Millisecond, time.Since(begin))
	})
}
