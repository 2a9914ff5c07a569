// Package docs tests the documentation: its links and the names of tests in it.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

func TestLinkedFilesExist(t *testing.T) {
	var pages []string
	err := filepath.WalkDir("../..", func(path string, entry os.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	must.NoError(t, err)
	must.Positive(t, len(pages))
	for _, page := range pages {
		text, err := os.ReadFile(page)
		must.NoError(t, err)
		for _, found := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(found[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			must.NoError(t, err, must.Sprintf("%s links to %s", page, found[1]))
		}
	}
}

var testName = regexp.MustCompile("`(Test[A-Za-z0-9]+|Fuzz[A-Za-z0-9]+)`")

func TestPromisesNameExistingTests(t *testing.T) {
	text, err := os.ReadFile("../../docs/PROMISES.md")
	must.NoError(t, err)
	var sources strings.Builder
	err = filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			source, readErr := os.ReadFile(path)
			must.NoError(t, readErr)
			sources.Write(source)
		}
		return err
	})
	must.NoError(t, err)
	for _, found := range testName.FindAllStringSubmatch(string(text), -1) {
		must.StrContains(t, sources.String(), "func "+found[1]+"(")
	}
}
