package settings

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"gopkg.in/ini.v1"
)

// Load reads a settings file; its error is Problems with every mistake found.
func Load(path string) (*Options, error) {
	data, err := file.Read(path, maxFileBytes)
	if err != nil {
		return nil, Problems{{File: path, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads the contents of a settings file; path names it in problems and
// is the base of relative paths.
func Parse(path string, data []byte) (*Options, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowBooleanKeys: true, // a bare key is reported as such, with the others
		AllowShadows:     true, // so is a key given twice
	}, data)
	if err != nil {
		return nil, Problems{{File: path, Text: err.Error()}}
	}
	r := &reader{path: path, file: parsed, options: &Options{}}
	r.read()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return r.options, nil
}

// bareKeyValue is what the INI library gives a key without "=".
const bareKeyValue = "true"

type reader struct {
	path     string
	file     *ini.File
	options  *Options
	problems Problems
}

func (r *reader) report(section, key, text string) {
	r.problems = append(r.problems, Problem{File: r.path, Section: section, Key: key, Text: text})
}

func (r *reader) read() {
	definitions := Definitions()
	role := r.role()
	known := map[string]map[string]*Definition{}
	for i := range definitions {
		d := &definitions[i]
		if known[d.Section] == nil {
			known[d.Section] = map[string]*Definition{}
		}
		known[d.Section][d.Key] = d
	}
	r.reportUnknown(known, role)
	c := &context{dir: filepath.Dir(r.path)}
	for i := range definitions {
		if d := &definitions[i]; role == "" || d.appliesTo(role) {
			r.set(d, c, role)
		}
	}
	r.crossCheck()
}

// role returns the role that the file states, or none if it states no valid one.
func (r *reader) role() currantturn.Role {
	role := currantturn.Role(r.file.Section("process").Key("role").Value())
	if slices.Contains(slices.Concat(requesting, relaying), role) {
		return role
	}
	return ""
}

func (r *reader) reportUnknown(known map[string]map[string]*Definition, role currantturn.Role) {
	for _, s := range r.file.Sections() {
		keys, ok := known[s.Name()]
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				r.report("", "", "key "+k.Name()+" stands before the first section")
			}
			continue
		}
		if !ok {
			r.report(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			d := keys[k.Name()]
			switch {
			case d == nil:
				r.report(s.Name(), k.Name(), "unknown key")
			case role != "" && !d.appliesTo(role):
				r.report(s.Name(), k.Name(), "does not apply to the role "+string(role))
			case len(k.ValueWithShadows()) > 1:
				r.report(s.Name(), k.Name(), "given more than once")
			}
		}
	}
}

func (r *reader) set(d *Definition, c *context, role currantturn.Role) {
	value := d.Default
	s, err := r.file.GetSection(d.Section)
	if err == nil && s.HasKey(d.Key) {
		value = strings.TrimSpace(s.Key(d.Key).Value())
	} else if d.Required && (role != "" || len(d.Roles) == 0) {
		r.report(d.Section, d.Key, "missing")
		return
	}
	given := err == nil && s.HasKey(d.Key)
	if given && (value == "" || value == bareKeyValue && d.Unit != unitBoolean) {
		r.report(d.Section, d.Key, "has no value")
		return
	}
	if value == "" {
		return
	}
	if err := d.set(r.options, c, value); err != nil {
		r.report(d.Section, d.Key, err.Error())
	}
}
