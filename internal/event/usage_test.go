package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// usage is a place in the sources that passes on an event and its fields.
type usage struct {
	position string
	name     string
	fields   []string
}

// findUsages returns the calls and literals outside tests that pass on an event,
// and the names of all events mentioned there.
func findUsages(root string) (all []usage, mentioned map[string]bool) {
	GinkgoHelper()
	mentioned = map[string]bool{}
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if e, ok := n.(ast.Expr); ok {
				mentioned[eventName(e)] = true
			}
			if name, fields := usageOf(n); name != "" {
				all = append(all, usage{files.Position(n.Pos()).String(), name, fields})
			}
			return true
		})
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return all, mentioned
}

// usageOf recognises f(event.X, event.F("name", ...), ...) and
// currantturn.Event{Number: event.X, Fields: ...}.
func usageOf(n ast.Node) (name string, fields []string) {
	switch n := n.(type) {
	case *ast.CallExpr:
		if len(n.Args) > 0 {
			name = eventName(n.Args[0])
		}
	case *ast.CompositeLit:
		for _, e := range n.Elts {
			if kv, ok := e.(*ast.KeyValueExpr); ok && isIdent(kv.Key, "Number") {
				name = eventName(kv.Value)
			}
		}
	}
	if name == "" {
		return "", nil
	}
	ast.Inspect(n, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 2 || memberOfEvent(call.Fun) != "F" {
			return true
		}
		if lit, ok := call.Args[0].(*ast.BasicLit); ok {
			fields = append(fields, strings.Trim(lit.Value, `"`))
		}
		return true
	})
	return name, fields
}

var declaredNamesOnce = sync.OnceValue(declaredNames)

// eventName returns X of event.X in snake case if X is an event number.
func eventName(e ast.Expr) string {
	name := memberOfEvent(e)
	if name == "" || !declaredNamesOnce()[snakeCase(name)] {
		return ""
	}
	return snakeCase(name)
}

// memberOfEvent returns X of event.X, or an empty string for other expressions.
func memberOfEvent(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok || !isIdent(s.X, "event") {
		return ""
	}
	return s.Sel.Name
}

func isIdent(e ast.Expr, name string) bool {
	id, ok := e.(*ast.Ident)
	return ok && id.Name == name
}

var _ = Describe("sources", func() {
	It("report each event of the catalogue, with only the fields that it defines", func() {
		numbers := map[string]int{}
		for _, r := range event.Ranges() {
			for _, d := range r.Definitions {
				numbers[d.Name] = d.Number
			}
		}
		all, mentioned := findUsages("../..")
		Expect(len(all)).To(BeNumerically(">", 10), "findUsages must find the usages")
		for _, u := range all {
			e := currantturn.Event{Number: numbers[u.name]}
			for _, f := range u.fields {
				e.Fields = append(e.Fields, event.F(f, nil))
			}
			Expect(event.Check(e)).To(Succeed(), u.position)
		}
		for name := range numbers {
			Expect(mentioned[name]).To(BeTrue(), "no source reports "+name)
		}
	})
})
