package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// A handler that writes to its caller directly can write a second header, continue
// a body that was started, or return in the middle of it, and net/http makes the
// result look complete. Only inbound.go may pass a connection on, to the package that
// writes answers.
func TestOnlyInboundFileAccessesCallerConnections(t *testing.T) {
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, file := range files {
		name := file.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if found, ok := node.(*ast.Ident); ok && (found.Name == "ResponseWriter" || found.Name == "NewResponseController" || found.Name == "Hijacker" || found.Name == "Flusher") {
				seen[name] = true
			}
			return true
		})
	}
	if len(seen) != 1 || !seen["inbound.go"] {
		t.Errorf("callers' connections are accessed in %v, want inbound.go only", seen)
	}
}
