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

const key = "key-of-the-harbour"

func harbour() *site.Workspaces {
	return site.NewWorkspaces([]*site.Workspace{{Name: "harbour", Keys: []credential.Digest{credential.Of(key)}}})
}

// keyed is a request for a path with an Authorization header and a body of a length.
func keyed(path, authorization string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: q\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n%s", path, authorization, length, strings.Repeat("x", length))
}

// Callers come with a key, a wrong one, or none. Only a key in force opens a route, and
// the request then counts for its workspace; a public route is open to all.
func TestKeyOpensItsRoutes(t *testing.T) {
	for name, test := range map[string]struct {
		workspaces *site.Workspaces
		text       string
		status     int
		workspace  string
		checked    bool
	}{
		"its key":                       {harbour(), keyed("/a/x", "Bearer "+key, 3), http.StatusOK, "harbour", true},
		"another key":                   {harbour(), keyed("/a/x", "Bearer other", 3), http.StatusUnauthorized, "", true},
		"no key":                        {harbour(), post("/a/x", 3), http.StatusUnauthorized, "", true},
		"another scheme":                {harbour(), keyed("/a/x", "Basic "+key, 3), http.StatusUnauthorized, "", true},
		"public, no key":                {harbour(), post("/open/x", 3), http.StatusOK, "", true},
		"public, another key":           {harbour(), keyed("/open/x", "Bearer other", 3), http.StatusOK, "", true},
		"public, its key":               {harbour(), keyed("/open/x", "Bearer "+key, 3), http.StatusOK, "harbour", true},
		"no workspace is listed":        {site.NewWorkspaces(nil), keyed("/a/x", "Bearer "+key, 3), http.StatusUnauthorized, "", true},
		"its last key is gone":          {site.NewWorkspaces([]*site.Workspace{{Name: "harbour"}}), keyed("/a/x", "Bearer "+key, 3), http.StatusUnauthorized, "", true},
		"keys do not count, no key":     {nil, post("/a/x", 3), http.StatusOK, "", false},
		"keys do not count, with a key": {nil, keyed("/a/x", "Bearer "+key, 3), http.StatusOK, "", false},
		"no route, no key":              {harbour(), post("/b/x", 3), http.StatusNotFound, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			inEntranceOf(t, configWith(test.workspaces), func(e *entrance) {
				response := e.send(test.text)
				must.Eq(t, test.status, response.StatusCode)
				if test.status != http.StatusOK {
					must.SliceEmpty(t, e.served)
					return
				}
				must.Eq(t, test.workspace, e.served[0].WorkspaceName())
				must.Eq(t, test.checked, e.served[0].Caller.KeysEnforced)
			})
		})
	}
}

// A caller without a key announces a body and sends it two seconds later. It has its
// answer at once, and its next request on the connection, with the key, is served.
func TestAnswerWithoutAKeyDoesNotWaitForTheBody(t *testing.T) {
	inEntranceOf(t, configWith(harbour()), func(e *entrance) {
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
		must.Eq(t, http.StatusOK, e.sendOn(conn, keyed("/a/x", "Bearer "+key, 3)).StatusCode)
		must.Eq(t, "xxx", string(e.served[0].Body))
	})
}

// What is left of a request without a key hides a second one. It is read as the body
// that it is, and nothing of it runs.
func TestRestOfARequestWithoutAKeyIsNoRequest(t *testing.T) {
	inEntranceOf(t, configWith(harbour()), func(e *entrance) {
		conn, err := e.net.Host("caller").Dial(e.t.Context(), "tcp", "entry:80")
		must.NoError(t, err)
		hidden := keyed("/a/hidden", "Bearer "+key, 0)
		first := fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden)
		must.Eq(t, http.StatusUnauthorized, e.sendOn(conn, first).StatusCode)
		must.Eq(t, http.StatusOK, e.sendOn(conn, keyed("/a/y", "Bearer "+key, 0)).StatusCode)
		must.Len(t, 1, e.served)
		must.Eq(t, "/a/y", e.served[0].Target)
	})
}

// A caller without a key asks whether to send its body (Expect: 100-continue), and does not
// send it after the 401. Waited for, its next request would be taken for that body; it is
// told to use another connection.
func TestCallerThatAsksBeforeItSendsItsBody(t *testing.T) {
	inEntranceOf(t, configWith(harbour()), func(e *entrance) {
		begin := time.Now()
		response := e.send("POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
		must.True(t, response.Close)
		must.Less(t, 100*time.Millisecond, time.Since(begin))
	})
}
