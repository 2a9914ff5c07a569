package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a table that grows wider than a terminal with the names of workspaces, and against
// a flag that is ignored.
func TestAnalyzeByWorkspaceIsBoundedInWidth(t *testing.T) {
	name := strings.Repeat("harbour", 40)
	log := filepath.Join(t.TempDir(), "host.log")
	line := `{"@message":"request","id":"a","workspace":"` + name + `","precedence":[1,2],"status":200,"complete":true}` + "\n"
	must.NoError(t, os.WriteFile(log, []byte(line+line), 0o600))
	printed, err := output(t, "analyze", "--by", "workspace", log)
	must.NoError(t, err)
	must.StrContains(t, printed, "har…")
	for _, row := range strings.Split(printed, "\n") {
		must.LessEq(t, 80, len([]rune(row)))
	}
	printed, err = output(t, "analyze", "--by", "rank", log)
	must.NoError(t, err)
	must.Eq(t, "RANK REQUESTS ON TIME LATE REFUSED OTHER 1,2 2 100.0% 0.0% 0.0% 0.0%", strings.Join(strings.Fields(printed), " "))
	printed, err = output(t, "analyze", log)
	must.NoError(t, err)
	must.StrContains(t, printed, "CAUSE")
	_, err = output(t, "analyze", "--by", "moon", log)
	must.Error(t, err)
}
