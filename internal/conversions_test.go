package internal_test

import (
	"go/ast"
	"go/types"
	"path/filepath"
	"testing"

	"golang.org/x/tools/go/packages"
)

// conversionOwner is the only file that may convert floating-point numbers to integers and durations.
const conversionOwner = "limits/conversions.go"

// TestNumbersAreConvertedInOnePlace guards against conversions whose result depends on the processor: Go leaves it open
// what a floating-point number becomes that is out of the range of an integer or a duration. The functions of package
// limits convert such numbers within bounds. Constants are checked by the compiler.
func TestNumbersAreConvertedInOnePlace(t *testing.T) {
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes |
			packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps | packages.NeedExportFile,
	}, "quillshunt/...")
	if err != nil {
		t.Fatal(err)
	}
	owner, err := filepath.Abs(conversionOwner)
	if err != nil {
		t.Fatal(err)
	}
	conversions := 0 // in the owner
	for _, pkg := range loaded {
		for _, problem := range pkg.Errors {
			t.Errorf("%s: %v", pkg.PkgPath, problem)
		}
		for _, file := range pkg.Syntax {
			for _, call := range floatToIntegerConversions(pkg.TypesInfo, file) {
				position := pkg.Fset.Position(call.Pos())
				if position.Filename == owner {
					conversions++
					continue
				}
				t.Errorf("%v: use limits.Seconds, limits.Scale or limits.Whole", position)
			}
		}
	}
	if conversions == 0 {
		t.Errorf("no conversion found in %s; the check does not work", owner)
	}
}

// floatToIntegerConversions returns the conversions of a file from a floating-point number that is not constant to an
// integer type, which includes durations.
func floatToIntegerConversions(info *types.Info, file *ast.File) []*ast.CallExpr {
	var found []*ast.CallExpr
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 || !info.Types[call.Fun].IsType() {
			return true
		}
		argument := info.Types[call.Args[0]]
		if argument.Value == nil && hasBasicInfo(argument.Type, types.IsFloat) &&
			hasBasicInfo(info.Types[call.Fun].Type, types.IsInteger) {
			found = append(found, call)
		}
		return true
	})
	return found
}

// hasBasicInfo reports whether the underlying type has a property; for a type parameter, whether one of the types
// that it stands for has it.
func hasBasicInfo(t types.Type, property types.BasicInfo) bool {
	if parameter, ok := t.(*types.TypeParam); ok {
		constraint := parameter.Constraint().Underlying().(*types.Interface)
		for embedded := range constraint.EmbeddedTypes() {
			union, ok := embedded.(*types.Union)
			if !ok {
				continue
			}
			for term := range union.Terms() {
				if hasBasicInfo(term.Type(), property) {
					return true
				}
			}
		}
		return false
	}
	basic, ok := t.Underlying().(*types.Basic)
	return ok && basic.Info()&property != 0
}
