package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const project = "corianderspool.example/spool/"

var (
	forbiddenImports = []string{"net", "os", "io", "bufio", "sync", "syscall", "math/rand", "crypto/rand", "log", "context"}
	allowedPackages  = []string{"pkg/spool", "internal/wire", "internal/strict", "internal/core"}
	clockFunctions   = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}
)

// TestCoreHasNoSideEffects checks that the core's code uses no I/O, clock, goroutine or random number, which would make
// simulations of it irreproducible.
func TestCoreHasNoSideEffects(t *testing.T) {
	c := qt.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		positions := token.NewFileSet()
		file, err := parser.ParseFile(positions, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		checkImports(c, path, file)
		ast.Inspect(file, func(node ast.Node) bool {
			if effect := sideEffect(node); effect != "" {
				c.Errorf("%s: %s", positions.Position(node.Pos()), effect)
			}
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(files > 20, qt.IsTrue)
}

func checkImports(c *qt.C, path string, file *ast.File) {
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		inside, isProject := strings.CutPrefix(name, project)
		if isProject {
			allowed := slices.ContainsFunc(allowedPackages, func(prefix string) bool {
				return inside == prefix || strings.HasPrefix(inside, prefix+"/")
			})
			c.Check(allowed, qt.IsTrue, qt.Commentf("%s imports %s", path, name))
			continue
		}
		forbidden := slices.ContainsFunc(forbiddenImports, func(prefix string) bool {
			return name == prefix || strings.HasPrefix(name, prefix+"/")
		})
		c.Check(forbidden, qt.IsFalse, qt.Commentf("%s imports %s", path, name))
	}
}

// sideEffect returns a description of the side effect of a syntax node, or "".
func sideEffect(node ast.Node) string {
	switch node := node.(type) {
	case *ast.GoStmt:
		return "starts a goroutine"
	case *ast.SelectorExpr:
		qualifier, isName := node.X.(*ast.Ident)
		if isName && qualifier.Name == "time" && slices.Contains(clockFunctions, node.Sel.Name) {
			return "reads the clock by time." + node.Sel.Name
		}
	}
	return ""
}
