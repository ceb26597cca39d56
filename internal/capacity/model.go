package capacity

import (
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Kind is the source of a number.
type Kind string

// Kinds of numbers, from the most to the least reliable.
const (
	Given    Kind = "given"    // stated by the users
	Constant Kind = "constant" // set in the program's code
	Measured Kind = "measured" // by the number's command
	Derived  Kind = "derived"  // computed from numbers of the kinds above
	Assumed  Kind = "assumed"  // assumed because the users have stated no figure
	Estimate Kind = "estimate" // not measured
)

var kinds = []Kind{Given, Constant, Measured, Derived, Assumed, Estimate}

// Resource is a resource that a line consumes.
type Resource string

// Resources that have a budget.
const (
	Processor Resource = "processor"
	Memory    Resource = "memory"
	Network   Resource = "network"
	Reads     Resource = "reads" // reads of the platform by the whole fleet
)

var resources = []Resource{Processor, Memory, Network, Reads}

// Plane separates the cost of coordination from that of callers' traffic.
type Plane string

// Planes of a line. Only Control counts against the budget.
const (
	Control  Plane = "control"
	Requests Plane = "requests"
	Packets  Plane = "packets"
)

// Number is an input of the model: a size of the fleet, a constant or a slope, which is
// a cost per unit of another number.
type Number struct {
	Name    string
	Value   float64
	Unit    string
	Kind    Kind
	Text    string
	Command string
	Range   string
}

// Line is one cost of a role in a load case.
type Line struct {
	Name      string
	Role      string
	Case      string
	Resource  Resource
	Plane     Plane
	Text      string
	Mechanism string
	Change    string // change that would reduce a cost that exceeds its budget

	Formula string // names of numbers joined by * and /
	Value   float64
	Kind    Kind // least reliable of Derived and the kinds of the formula's numbers
}

// Model is the content of a slopes file, with evaluated lines.
type Model struct {
	Numbers []Number
	Lines   []Line
	Budgets map[Resource]float64
}

// Parse reads a slopes file and evaluates its lines. A line can use only numbers that
// precede it.
func Parse(p []byte) (*Model, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, p)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	m := &Model{Budgets: make(map[Resource]float64)}
	for _, s := range file.Sections() {
		kind, name, ok := strings.Cut(s.Name(), ".")
		switch {
		case !ok:
			err = nil
		case kind == "number":
			err = m.addNumber(name, s)
		case kind == "line":
			err = m.addLine(name, s)
		case kind == "budget":
			m.Budgets[Resource(name)], err = s.Key("value").Float64()
		default:
			err = eris.Wrapf(currantturn.ErrMalformed, "unknown section %q", s.Name())
		}
		if err != nil {
			return nil, eris.Wrapf(err, "section %q", s.Name())
		}
	}
	return m, nil
}

func (m *Model) addNumber(name string, s *ini.Section) error {
	n := Number{
		Name: name, Unit: s.Key("unit").String(), Kind: Kind(s.Key("kind").String()),
		Text: s.Key("text").String(), Command: s.Key("command").String(), Range: s.Key("range").String(),
	}
	var err error
	if n.Value, err = s.Key("value").Float64(); err != nil {
		return eris.Wrap(currantturn.ErrMalformed, "value is not a number")
	}
	if !slices.Contains(kinds, n.Kind) {
		return eris.Wrapf(currantturn.ErrMalformed, "unknown kind %q", n.Kind)
	}
	if n.Kind == Measured && (n.Command == "" || n.Range == "") {
		return eris.Wrap(currantturn.ErrMalformed, "a measured number needs a command and a range")
	}
	m.Numbers = append(m.Numbers, n)
	return nil
}

func (m *Model) addLine(name string, s *ini.Section) error {
	l := Line{
		Name: name, Role: s.Key("role").String(), Case: s.Key("case").String(),
		Resource: Resource(s.Key("resource").String()), Plane: Plane(s.Key("plane").String()),
		Text: s.Key("text").String(), Mechanism: s.Key("mechanism").String(),
		Change: s.Key("change").String(), Formula: s.Key("formula").String(),
	}
	if !slices.Contains(resources, l.Resource) || !slices.Contains([]Plane{Control, Requests, Packets}, l.Plane) {
		return eris.Wrapf(currantturn.ErrMalformed, "unknown resource %q or plane %q", l.Resource, l.Plane)
	}
	if l.Mechanism == "" || l.Text == "" || l.Role == "" || l.Case == "" {
		return eris.Wrap(currantturn.ErrMalformed, "a line needs a role, a case, a text and a mechanism")
	}
	if err := m.evaluate(&l); err != nil {
		return err
	}
	m.Lines = append(m.Lines, l)
	return nil
}

// evaluate computes the line's formula from left to right. The line's kind is the
// least reliable of Derived and the kinds of its numbers.
func (m *Model) evaluate(l *Line) error {
	l.Value, l.Kind = 1, Derived
	divide := false
	for _, word := range strings.Fields(l.Formula) {
		switch word {
		case "*", "/":
			divide = word == "/"
			continue
		}
		n := m.findNumber(word)
		if n == nil {
			return eris.Wrapf(currantturn.ErrMalformed, "unknown number %q", word)
		}
		if divide {
			l.Value /= n.Value
		} else {
			l.Value *= n.Value
		}
		if slices.Index(kinds, n.Kind) > slices.Index(kinds, l.Kind) {
			l.Kind = n.Kind
		}
	}
	return nil
}

func (m *Model) findNumber(name string) *Number {
	for i := range m.Numbers {
		if m.Numbers[i].Name == name {
			return &m.Numbers[i]
		}
	}
	return nil
}

// Total returns the sum of the lines of one role, case, resource and plane.
func (m *Model) Total(role, caseName string, r Resource, plane Plane) float64 {
	sum := 0.0
	for _, l := range m.Lines {
		if l.Role == role && l.Case == caseName && l.Resource == r && l.Plane == plane {
			sum += l.Value
		}
	}
	return sum
}
