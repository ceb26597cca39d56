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

// subsystems maps a package to the subsystem of its metrics where the two names
// differ; metric names stay as they are when a package is renamed.
var subsystems = map[string]string{
	"flowagent":    "holding",
	"flowbalancer": "steering",
	"statesync":    "publication",
}

func subsystemOf(pkg string) string {
	if name, ok := subsystems[pkg]; ok {
		return name
	}
	return pkg
}

// counter is one field of a package's Counters type, as its source declares it.
type counter struct{ name, meaning string }

// sources is what the program's sources say of metrics.
type sources struct {
	counters  map[string][]counter // by subsystem
	nested    map[string]string    // packages whose Counters stand in another's, with their path there
	published map[string]bool      // names handed to Registry.Publish
}

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

func (s *sources) visit(pkg string, n ast.Node) {
	switch n := n.(type) {
	case *ast.TypeSpec:
		if t, ok := n.Type.(*ast.StructType); ok && n.Name.Name == "Counters" {
			s.addCounters(pkg, t)
		}
	case *ast.CallExpr:
		if f, ok := n.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Publish" && len(n.Args) == 2 {
			s.addPublished(n)
		}
	}
}

func (s *sources) addCounters(pkg string, t *ast.StructType) {
	s.counters[pkg] = nil
	for _, f := range t.Fields.List {
		if f.Tag == nil {
			s.counters[pkg] = append(s.counters[pkg], counter{})
			continue
		}
		name, _, _ := strings.Cut(reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json"), ",")
		if other, ok := f.Type.(*ast.SelectorExpr); ok && other.Sel.Name == "Counters" {
			s.nested[other.X.(*ast.Ident).Name] = pkg + "." + name
			continue
		}
		meaning := strings.TrimSpace(f.Comment.Text() + f.Doc.Text())
		s.counters[pkg] = append(s.counters[pkg], counter{name, strings.ReplaceAll(meaning, "\n", " ")})
	}
}

// addPublished takes Publish("name", func() any { ... }).
func (s *sources) addPublished(call *ast.CallExpr) {
	name, isName := call.Args[0].(*ast.BasicLit)
	_, isSnapshot := call.Args[1].(*ast.FuncLit)
	if isName && isSnapshot {
		s.published[strings.Trim(name.Value, `"`)] = true
	}
}
