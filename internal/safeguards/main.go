// Command safeguards supports mutation tests of the project's safeguards: for each
// safeguard it writes a copy of the source without it, and an overlay file for the go
// tool. The script .ci/safeguards runs the named test against each overlay and expects
// it to fail.
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
var safeguardsJSON []byte

// safeguard describes one safeguard and the test that covers it.
type safeguard struct {
	Name string `json:"name"`
	File string `json:"file"`
	// Old is the text of the safeguard, which must occur once in the file; New replaces it.
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
	if err := writeOverlays(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "safeguards:", err)
		os.Exit(1)
	}
}

// writeOverlays writes the files of all safeguards and prints a line for each: its name,
// its overlay file, the package and the test.
func writeOverlays(directory string) error {
	var safeguards []safeguard
	if err := json.Unmarshal(safeguardsJSON, &safeguards); err != nil {
		return err
	}
	for i, entry := range safeguards {
		overlay, err := writeOverlay(directory, i, entry)
		if err != nil {
			return fmt.Errorf("%s: %w", entry.Name, err)
		}
		fmt.Printf("%s\t%s\t%s\t%s\n", entry.Name, overlay, entry.Package, entry.Test)
	}
	return nil
}

func writeOverlay(directory string, index int, entry safeguard) (string, error) {
	source, err := os.ReadFile(entry.File)
	if err != nil {
		return "", err
	}
	if strings.Count(string(source), entry.Old) != 1 {
		return "", fmt.Errorf("the safeguard's text does not occur exactly once in %s", entry.File)
	}
	changed := filepath.Join(directory, fmt.Sprintf("%d.go", index))
	text := strings.Replace(string(source), entry.Old, entry.New, 1)
	if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
		return "", err
	}
	original, err := filepath.Abs(entry.File)
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
