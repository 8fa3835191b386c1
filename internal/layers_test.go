// Package internal_test checks the dependencies between the packages of the project.
package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// layer maps each package below internal to its layer. A package may import only packages of lower
// layers.
var layer = map[string]int{
	"limits": 0, "config": 1, "metrics": 1, "watchdog": 1, "transport": 2, "protocol": 3, "storage": 4,
	"coordination/resource": 1, "coordination/placement": 2,
	"coordination/peer/peerpb": 5, "coordination/election": 5, "coordination/peer": 6, "coordination/scheduler": 6,
	"coordination/leader": 7, "coordination/gateway": 8, "coordination/controller": 9,
	"standin":      5, // fakes of the cloud, workers and state service, for tests and the quick start
	"testvariable": 0, // for tests
}

// TestImportsGoDownward checks that packages import only packages of lower layers, and that the
// scheduler imports neither net nor math/rand/v2: the same inputs must always give the same decisions.
func TestImportsGoDownward(t *testing.T) {
	seen := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		pkg := filepath.ToSlash(filepath.Dir(path))
		ownLayer, ok := layer[pkg]
		if !ok {
			t.Errorf("package %s has no entry in layer", pkg)
			return nil
		}
		seen[pkg] = true
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imported := range f.Imports {
			name, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				return err
			}
			if rest, inModule := strings.CutPrefix(name, "quillshunt/internal/"); inModule && layer[rest] >= ownLayer {
				t.Errorf("%s imports %s, which is not in a lower layer", path, rest)
			}
			if pkg == "coordination/scheduler" && (name == "net" || name == "math/rand/v2") {
				t.Errorf("%s imports %s, but the scheduler must be deterministic", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for pkg := range layer {
		if !seen[pkg] {
			t.Errorf("layer has an entry for %s, but there is no such package", pkg)
		}
	}
}
