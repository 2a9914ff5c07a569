package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/shoenig/test/must"
)

// output runs the tool with arguments and returns what it prints on standard output.
func output(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "stdout"))
	must.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = file
	defer func() { os.Stdout = stdout }()
	parser := flags.NewNamedParser("cherryctl", flags.PassDoubleDash)
	addCommands(parser)
	_, runErr := parser.ParseArgs(arguments)
	must.NoError(t, file.Close())
	printed, err := os.ReadFile(file.Name())
	must.NoError(t, err)
	return string(printed), runErr
}

// Guards against a command that shows nothing because one host is away and one page is malformed,
// or that doesn't say so. The test reads pages on loopback.
func TestContentionOfHosts(t *testing.T) {
	var pages []string
	for _, page := range []string{
		`{"contention":{"requests":[{"workspace_priority":1,"route_priority":0,"workspace":"harbour","open":4,"served":9},{"workspace_priority":1,"route_priority":0,"workspace":"harbour","cause":"adapter load","deferred":3,"refused":2}],
		"adapters":[{"adapter":"base/a7","per_s":12.5,"replicas":["r1","r2"]}],"runners":[{"runner":"r1","load":3,"slots":16,"work_percent":250}],
		"slots":[{"service":"api","slots":6,"granted":5,"queued":2,"longest_wait_ms":40,"grants":77}]}}`,
		`{"contention":{"requests":[{"workspace_priority":1,"route_priority":0,"workspace":"harbour","open":2}],"evictions":{"load":3}}}`,
		`{"contention":{`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, page) }))
		t.Cleanup(server.Close)
		pages = append(pages, server.URL)
	}
	printed, err := output(t, append([]string{"contention", "127.0.0.1:1"}, pages...)...)
	must.NoError(t, err)
	for _, want := range []string{
		"2 hosts answered, 2 did not", "no answer from 127.0.0.1:1: ", "no answer from " + pages[2] + ": metrics: unexpected EOF",
		"harbour adapter load 0 3 2 0 0", "all all all all 6 3 2 9 0", "base/a7 12.5/s 0.0/s 0 2 r1,r2",
		"r1 " + pages[0] + " 2.50 250% - 0ms 3 16 slow", "api " + pages[0] + " 5 6 2 40ms 77 0 0 -", "load 3",
	} {
		must.StrContains(t, strings.Join(strings.Fields(printed), " "), want)
	}
	printed, err = output(t, append([]string{"contention", "--output", "json"}, pages...)...)
	must.NoError(t, err)
	global.Output = "table"
	must.StrContains(t, printed, `"missing"`)
	_, err = output(t, "contention", "127.0.0.1:1")
	must.ErrorContains(t, err, "no host answered")
}

// Guards against parts of a host's page that the command doesn't print. The pages are those of two
// hosts in TestAllPartsOfContentionAreOnMetricsPages of package platform.
func TestContentionOfHostPages(t *testing.T) {
	server := httptest.NewServer(http.FileServer(http.Dir("testdata")))
	t.Cleanup(server.Close)
	printed, err := output(t, "contention", server.URL+"/contention-h1.json", server.URL+"/contention-h3.json")
	must.NoError(t, err)
	fields := strings.Join(strings.Fields(printed), " ")
	for _, want := range []string{
		"base/a1 13.2/s 0.0/s 3 6 i-llm3,i-llm4,i-llm5,i-llm6,…", "spare slot 47",
		"i-llm6 " + server.URL + "/contention-h1.json 1.00 - 35.0/ms 166ms 6 64 -",
		"api " + server.URL + "/contention-h3.json 0 128 0 0ms 1 0 0 -",
	} {
		must.StrContains(t, fields, want)
	}
}
