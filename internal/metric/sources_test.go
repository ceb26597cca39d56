package metric_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"
)

// subsystemNames maps a package to the subsystem of its metrics where the two
// names differ: metric names stay as they are when a package is renamed.
var subsystemNames = map[string]string{
	"flowagent":    "holding",
	"flowbalancer": "steering",
	"statesync":    "publication",
}

func subsystemOf(pkg string) string {
	if name, ok := subsystemNames[pkg]; ok {
		return name
	}
	return pkg
}

// counter is a field of a package's Counters type: its JSON name and its comment.
type counter struct{ name, meaning string }

// sources holds what the program's source files declare about metrics.
type sources struct {
	counters  map[string][]counter // fields of Counters by subsystem
	nested    map[string]string    // path of the field, by package whose Counters are a field of another package's
	published map[string]bool      // names passed to Registry.Publish
}

// readSources parses the source files below root, except tests.
func readSources(root string) (*sources, error) {
	s := &sources{counters: map[string][]counter{}, nested: map[string]string{}, published: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s.visit(subsystemOf(f.Name.Name), n)
			return true
		})
		return nil
	})
	return s, err
}

// visit records n if it declares a Counters type or calls Publish.
func (s *sources) visit(subsystem string, n ast.Node) {
	switch n := n.(type) {
	case *ast.TypeSpec:
		if t, ok := n.Type.(*ast.StructType); ok && n.Name.Name == "Counters" {
			s.addCounters(subsystem, t)
		}
	case *ast.CallExpr:
		if f, ok := n.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Publish" && len(n.Args) == 2 {
			s.addPublished(n)
		}
	}
}

// addCounters records the fields of a Counters type; a field of another package's
// Counters type is recorded in nested.
func (s *sources) addCounters(subsystem string, t *ast.StructType) {
	s.counters[subsystem] = nil
	for _, f := range t.Fields.List {
		if f.Tag == nil {
			s.counters[subsystem] = append(s.counters[subsystem], counter{})
			continue
		}
		name, _, _ := strings.Cut(reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json"), ",")
		if other, ok := f.Type.(*ast.SelectorExpr); ok && other.Sel.Name == "Counters" {
			s.nested[other.X.(*ast.Ident).Name] = subsystem + "." + name
			continue
		}
		meaning := strings.TrimSpace(f.Comment.Text() + f.Doc.Text())
		s.counters[subsystem] = append(s.counters[subsystem], counter{name, strings.ReplaceAll(meaning, "\n", " ")})
	}
}

// addPublished records the name of a call Publish("name", func() any { ... }).
func (s *sources) addPublished(call *ast.CallExpr) {
	name, isName := call.Args[0].(*ast.BasicLit)
	_, isSnapshot := call.Args[1].(*ast.FuncLit)
	if isName && isSnapshot {
		s.published[strings.Trim(name.Value, `"`)] = true
	}
}
