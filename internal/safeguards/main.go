// Command safeguards shows that the failure tests can fail: for each safeguard
// it writes a copy of the source in which the safeguard is taken out, and an
// overlay file for the go tool. The script .ci/safeguards runs the named test
// against each and wants it to fail.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	_ "embed"
)

//go:embed safeguards.json
var list []byte

// safeguard is one safeguard and the test that proves it.
type safeguard struct {
	Name string `json:"name"`
	File string `json:"file"`
	// Old is the text of the safeguard, which stands once in the file; New
	// replaces it.
	Old     string `json:"old"`
	New     string `json:"new"`
	Package string `json:"package"`
	Test    string `json:"test"`
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: safeguards DIRECTORY")
		os.Exit(2)
	}
	if err := write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "safeguards:", err)
		os.Exit(1)
	}
}

// write prints a line for each safeguard: its name, its overlay file, the
// package and the test.
func write(directory string) error {
	var guards []safeguard
	if err := json.Unmarshal(list, &guards); err != nil {
		return err
	}
	for i, guard := range guards {
		overlay, err := writeOne(directory, i, guard)
		if err != nil {
			return fmt.Errorf("%s: %w", guard.Name, err)
		}
		fmt.Printf("%s\t%s\t%s\t%s\n", guard.Name, overlay, guard.Package, guard.Test)
	}
	return nil
}

func writeOne(directory string, index int, guard safeguard) (string, error) {
	source, err := os.ReadFile(guard.File)
	if err != nil {
		return "", err
	}
	if strings.Count(string(source), guard.Old) != 1 {
		return "", fmt.Errorf("the safeguard's text does not stand once in %s", guard.File)
	}
	changed := filepath.Join(directory, fmt.Sprintf("%d.go", index))
	text := strings.Replace(string(source), guard.Old, guard.New, 1)
	if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
		return "", err
	}
	original, err := filepath.Abs(guard.File)
	if err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {original: changed}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, fmt.Sprintf("%d.json", index))
	return path, os.WriteFile(path, overlay, 0o600)
}
