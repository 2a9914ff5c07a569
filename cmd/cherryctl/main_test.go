package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/shoenig/test/must"
)

// A change's connection ends without an answer: scripts were told that it had failed.
func TestExitCodeOfAChangeWithoutAnAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	global.Address = server.URL
	flags := changeFlags{From: 1}
	err := flags.submitChange(adminapi.ChangeRequest{Ops: []inventory.Op{{DeleteRule: "r"}}})
	must.Eq(t, exitUnknown, exitCode(err))
}
