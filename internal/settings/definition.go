package settings

import (
	"fmt"
	"slices"

	"github.com/currantturn/currantturn"
)

// Definition describes one key of the settings file.
type Definition struct {
	Section  string
	Key      string
	Unit     string
	Default  string // empty for none
	Range    string
	Roles    []currantturn.Role // empty for every role
	Required bool
	Text     string

	set  func(o *Options, c *context, s string) error
	show func(o *Options) any
}

// context is what parsing a value may need besides the value.
type context struct {
	dir string // directory of the settings file
}

// parser turns a value of the file into a typed one.
type parser[T any] struct {
	unit   string
	accept string // range, for the docs and for messages
	parse  func(c *context, s string) (T, error)
}

// key binds a parser to a field of the options.
func key[T any](name, def, text string, p parser[T], field func(*Options) *T) Definition {
	return Definition{
		Key: name, Unit: p.unit, Default: def, Range: p.accept, Text: text,
		set: func(o *Options, c *context, s string) error {
			v, err := p.parse(c, s)
			if err != nil {
				return err
			}
			*field(o) = v
			return nil
		},
		show: func(o *Options) any { return *field(o) },
	}
}

func (d Definition) required() Definition {
	d.Required = true
	return d
}

func (d Definition) only(roles ...currantturn.Role) Definition {
	d.Roles = roles
	return d
}

func (d *Definition) appliesTo(r currantturn.Role) bool {
	return len(d.Roles) == 0 || slices.Contains(d.Roles, r)
}

// section names the section of its keys, and the roles that have them; a key
// may have stated fewer.
func section(name string, roles []currantturn.Role, keys ...Definition) []Definition {
	for i := range keys {
		keys[i].Section = name
		if len(keys[i].Roles) == 0 {
			keys[i].Roles = roles
		}
	}
	return keys
}

// Roles that share sections; without any, a section applies to every role.
var (
	balancers  = []currantturn.Role{currantturn.RoleBalancer}
	agents     = []currantturn.Role{currantturn.RoleAgent}
	requesting = []currantturn.Role{currantturn.RoleBalancer, currantturn.RoleAgent}
	relaying   = []currantturn.Role{currantturn.RoleFlowBalancer, currantturn.RoleFlowAgent}
)

// Definitions returns every key in the order of the docs.
func Definitions() []Definition {
	return slices.Concat(
		processKeys(), platformKeys(), linkKeys(), entryKeys(), trustKeys(),
		logKeys(), adminKeys(), flowKeys(), requestKeys(), backendKeys(),
		storeKeys(), relayKeys(),
	)
}

// Default returns the options of a role with every default in force.
func Default(r currantturn.Role) *Options {
	o := &Options{Process: Process{Role: r}}
	for _, d := range Definitions() {
		if d.Default == "" || !d.appliesTo(r) {
			continue
		}
		if err := d.set(o, &context{}, d.Default); err != nil {
			panic(fmt.Sprintf("default of [%s] %s: %v", d.Section, d.Key, err))
		}
	}
	return o
}
