package settings

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"gopkg.in/ini.v1"
)

// Load reads a settings file; its error is Problems with all mistakes found.
func Load(path string) (*Options, error) {
	data, err := file.Read(path, maxFileBytes)
	if err != nil {
		return nil, Problems{{File: path, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads the contents of a settings file. The path appears in problems, and
// relative paths in the file start at its directory.
func Parse(path string, data []byte) (*Options, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowBooleanKeys: true, // a key without a value is reported with the other mistakes
		AllowShadows:     true, // so is a key given more than once
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

// bareKeyValue is the value that the INI library assigns to a key without "=".
const bareKeyValue = "true"

// reader fills options from a parsed file and collects the problems found.
type reader struct {
	path     string
	file     *ini.File
	options  *Options
	problems Problems
}

func (r *reader) report(section, key, text string) {
	r.problems = append(r.problems, Problem{File: r.path, Section: section, Key: key, Text: text})
}

// read sets the options that apply to the role and reports all problems.
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
	r.reportUnexpected(known, role)
	c := &parseContext{dir: filepath.Dir(r.path)}
	for i := range definitions {
		if d := &definitions[i]; role == "" || d.appliesTo(role) {
			r.setOption(d, c, role)
		}
	}
	r.crossCheck()
}

// role returns the role given in the file, or an empty one if that is missing or
// invalid.
func (r *reader) role() currantturn.Role {
	role := currantturn.Role(r.file.Section("process").Key("role").Value())
	if slices.Contains(slices.Concat(requestRoles, relayRoles), role) {
		return role
	}
	return ""
}

// reportUnexpected reports sections and keys that are unknown, do not apply to the
// role, are given more than once or are outside any section.
func (r *reader) reportUnexpected(known map[string]map[string]*Definition, role currantturn.Role) {
	for _, s := range r.file.Sections() {
		keys, ok := known[s.Name()]
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				r.report("", "", "key "+k.Name()+" appears before the first section")
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

// setOption sets the option of one key to the value in the file or else to its
// default. If the role is unknown, a missing key is reported only if it is
// required in every role.
func (r *reader) setOption(d *Definition, c *parseContext, role currantturn.Role) {
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
