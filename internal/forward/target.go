package forward

import (
	"net/url"
	"strings"
)

// CanSend reports whether a target can be sent to a runner as it is: one that begins with two slashes and
// holds bytes that no URI may have cannot.
func CanSend(target string) bool { return runnerURL("runner", target).RequestURI() == target }

// runnerURL returns the URL of a request to a runner, whose request line has just the target.
//
// An opaque URL is written as it is, but one that begins with two slashes is written with the scheme before
// it. The runner would take it for a request to another host, and for a shorter path.
func runnerURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		path = raw
	}
	return &url.URL{Scheme: "http", Host: address, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery && query == ""}
}
