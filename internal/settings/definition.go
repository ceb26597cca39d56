package settings

import (
	"fmt"
	"slices"

	"github.com/currantturn/currantturn"
)

// Definition describes one key of the settings file.
type Definition struct {
	Section     string
	Key         string
	Unit        string
	Default     string             // empty for none
	Range       string             // values accepted, for people to read
	Roles       []currantturn.Role // empty for every role
	Required    bool
	Description string

	// set parses s and stores the value in o.
	set func(o *Options, c *parseContext, s string) error
	// value returns the value that o holds.
	value func(o *Options) any
}

// parseContext is what a parser may need besides the text of the value.
type parseContext struct {
	dir string // directory of the settings file
}

// parser converts the text of a value into type T.
type parser[T any] struct {
	unit       string
	valueRange string // values accepted, for the docs and for messages
	parse      func(c *parseContext, s string) (T, error)
}

// key defines a key whose values are parsed by p and stored in a field of the
// options; an empty def means that there is no default.
func key[T any](name, def, description string, p parser[T], field func(*Options) *T) Definition {
	return Definition{
		Key: name, Unit: p.unit, Default: def, Range: p.valueRange, Description: description,
		set: func(o *Options, c *parseContext, s string) error {
			v, err := p.parse(c, s)
			if err != nil {
				return err
			}
			*field(o) = v
			return nil
		},
		value: func(o *Options) any { return *field(o) },
	}
}

// required returns the definition of a key that must be given.
func (d Definition) required() Definition {
	d.Required = true
	return d
}

// onlyFor returns the definition of a key that applies to these roles only.
func (d Definition) onlyFor(roles ...currantturn.Role) Definition {
	d.Roles = roles
	return d
}

func (d *Definition) appliesTo(r currantturn.Role) bool {
	return len(d.Roles) == 0 || slices.Contains(d.Roles, r)
}

// section sets the section of the keys, and the roles of those that have none of
// their own.
func section(name string, roles []currantturn.Role, keys ...Definition) []Definition {
	for i := range keys {
		keys[i].Section = name
		if len(keys[i].Roles) == 0 {
			keys[i].Roles = roles
		}
	}
	return keys
}

// Roles to which sections apply; a section without roles applies to all.
var (
	balancerRoles = []currantturn.Role{currantturn.RoleBalancer}
	agentRoles    = []currantturn.Role{currantturn.RoleAgent}
	requestRoles  = []currantturn.Role{currantturn.RoleBalancer, currantturn.RoleAgent}
	relayRoles    = []currantturn.Role{currantturn.RoleFlowBalancer, currantturn.RoleFlowAgent}
)

// Definitions returns the definitions of all keys, in the order of the docs.
func Definitions() []Definition {
	return slices.Concat(
		processKeys(), platformKeys(), linkKeys(), entryKeys(), trustKeys(),
		logKeys(), adminKeys(), flowKeys(), requestKeys(), backendKeys(),
		storeKeys(), relayKeys(),
	)
}

// Default returns the options of a role with all defaults applied.
func Default(r currantturn.Role) *Options {
	o := &Options{Process: Process{Role: r}}
	for _, d := range Definitions() {
		if d.Default == "" || !d.appliesTo(r) {
			continue
		}
		if err := d.set(o, &parseContext{}, d.Default); err != nil {
			panic(fmt.Sprintf("default of [%s] %s: %v", d.Section, d.Key, err))
		}
	}
	return o
}
