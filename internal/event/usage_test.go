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

// use is one place in the sources that names an event and its fields.
type use struct {
	position string
	name     string
	fields   []string
}

// uses finds the calls and literals outside tests that hand an event on, and
// the names of all events mentioned there.
func uses(root string) (all []use, mentioned map[string]bool) {
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
			if name, fields := usedBy(n); name != "" {
				all = append(all, use{files.Position(n.Pos()).String(), name, fields})
			}
			return true
		})
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return all, mentioned
}

// usedBy recognises f(event.X, event.F("name", ...), ...) and
// currantturn.Event{Number: event.X, Fields: ...}.
func usedBy(n ast.Node) (name string, fields []string) {
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
		if !ok || len(call.Args) != 2 || selected(call.Fun) != "F" {
			return true
		}
		if lit, ok := call.Args[0].(*ast.BasicLit); ok {
			fields = append(fields, strings.Trim(lit.Value, `"`))
		}
		return true
	})
	return name, fields
}

var declaredOnce = sync.OnceValue(declaredNames)

// eventName returns X of event.X if it is a number of the catalogue.
func eventName(e ast.Expr) string {
	name := selected(e)
	if name == "" || !declaredOnce()[snakeCase(name)] {
		return ""
	}
	return snakeCase(name)
}

func selected(e ast.Expr) string {
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
	It("report each event of the catalogue, with no field that it does not name", func() {
		numbers := map[string]int{}
		for _, r := range event.Ranges() {
			for _, d := range r.Definitions {
				numbers[d.Name] = d.Number
			}
		}
		all, mentioned := uses("../..")
		Expect(len(all)).To(BeNumerically(">", 10), "the search finds the uses")
		for _, u := range all {
			e := currantturn.Event{Number: numbers[u.name]}
			for _, f := range u.fields {
				e.Fields = append(e.Fields, event.F(f, nil))
			}
			Expect(event.Check(e)).To(Succeed(), u.position)
		}
		for name := range numbers {
			Expect(mentioned[name]).To(BeTrue(), "nothing reports "+name)
		}
	})
})
