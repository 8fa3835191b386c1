package scheduler

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// partFields contains the field names of each part. A part is a type that embeds the environment, except
// Scheduler, which coordinates the parts.
type partFields map[string]map[string]bool

// TestPartsOwnTheirFields checks that only the methods of a part access its fields. Other code that
// reaches a part through a field, as in s.queue.jobsInOrder(), may only call methods of the part.
func TestPartsOwnTheirFields(t *testing.T) {
	files := token.NewFileSet()
	sources := parseSources(t, files)
	fields, pointers := collectParts(sources)
	if len(fields) < 14 || len(pointers) < 14 {
		t.Fatalf("found %d parts and %d names of fields that point to them; want at least 14 of each",
			len(fields), len(pointers))
	}
	for _, source := range sources {
		for _, declaration := range source.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			owner := receiverType(function)
			ast.Inspect(function, func(node ast.Node) bool {
				outer, ok := node.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				inner, ok := outer.X.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				part := pointers[inner.Sel.Name]
				if part != owner && fields[part][outer.Sel.Name] {
					t.Errorf("%s: %s accesses field %s.%s",
						files.Position(outer.Pos()), function.Name.Name, part, outer.Sel.Name)
				}
				return true
			})
		}
	}
}

// parseSources parses the Go files of the package, without its tests.
func parseSources(t *testing.T, files *token.FileSet) []*ast.File {
	t.Helper()
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	var sources []*ast.File
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, source)
	}
	return sources
}

// collectParts returns the fields of the parts and, by field name, the part that fields of this name point
// to.
func collectParts(sources []*ast.File) (fields partFields, pointers map[string]string) {
	fields, pointers = partFields{}, map[string]string{}
	structs := map[string]*ast.StructType{}
	for _, source := range sources {
		ast.Inspect(source, func(node ast.Node) bool {
			if spec, ok := node.(*ast.TypeSpec); ok {
				if structType, ok := spec.Type.(*ast.StructType); ok {
					structs[spec.Name.Name] = structType
				}
			}
			return true
		})
	}
	for name, structType := range structs {
		if name != "Scheduler" && embedsEnvironment(structType) {
			fields[name] = map[string]bool{}
			for _, field := range structType.Fields.List {
				for _, fieldName := range field.Names {
					fields[name][fieldName.Name] = true
				}
			}
		}
	}
	for _, structType := range structs {
		for _, field := range structType.Fields.List {
			part := pointedType(field.Type)
			for _, fieldName := range field.Names {
				if fields[part] != nil {
					pointers[fieldName.Name] = part
				}
			}
		}
	}
	return fields, pointers
}

func embedsEnvironment(structType *ast.StructType) bool {
	for _, field := range structType.Fields.List {
		if len(field.Names) == 0 && pointedType(field.Type) == "environment" {
			return true
		}
	}
	return false
}

// pointedType returns the name of the type that a pointer type points to, or "" for other types.
func pointedType(expression ast.Expr) string {
	if star, ok := expression.(*ast.StarExpr); ok {
		if name, ok := star.X.(*ast.Ident); ok {
			return name.Name
		}
	}
	return ""
}

// receiverType returns the name of the type of a method's pointer receiver, or "" for other functions.
func receiverType(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	return pointedType(function.Recv.List[0].Type)
}
