package cluster

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// decisionPackages must not read the clock, do I/O or start goroutines.
var decisionPackages = []string{
	"internal/process/cluster", "internal/process/endpoint", "internal/process/quarantine", "internal/process/recordwatch", "internal/process/task",
	"internal/request/query", "internal/request/relay", "internal/request/statement",
	"internal/version/batch", "internal/version/recordlease", "internal/version/rollout", "internal/version/routes",
}

// forbiddenImports do I/O or synchronization. net/http is allowed for its message types.
var forbiddenImports = []string{"os", "os/exec", "io/ioutil", "syscall", "log", "sync", "context"}

// forbiddenCalls read the clock, wait, do I/O or use global randomness.
var forbiddenCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.After", "time.AfterFunc", "time.Sleep", "time.NewTimer", "time.NewTicker", "time.Tick",
	"http.Get", "http.Post", "net.Dial", "net.Listen", "rand.Int", "rand.IntN", "rand.Float64",
}

func TestDecisionPackagesArePure(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, name := range decisionPackages {
		files, err := filepath.Glob(filepath.Join(root, name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s contains no Go files: %v", name, err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkFile(t, file)
			}
		}
	}
}

func checkFile(t *testing.T, file string) {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, content, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range parsed.Imports {
		if path, _ := strconv.Unquote(one.Path.Value); slices.Contains(forbiddenImports, path) {
			t.Errorf("%s imports %s", files.Position(one.Pos()), path)
		}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", files.Position(n.Pos()))
		case *ast.SelectorExpr:
			if of, ok := n.X.(*ast.Ident); ok && slices.Contains(forbiddenCalls, of.Name+"."+n.Sel.Name) {
				t.Errorf("%s uses %s.%s", files.Position(n.Pos()), of.Name, n.Sel.Name)
			}
		}
		return true
	})
}
