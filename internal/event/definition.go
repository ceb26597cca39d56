package event

import (
	"fmt"
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Level is the severity of an event.
type Level string

// Levels of events, from the least to the most severe.
const (
	Debug   Level = "debug"
	Info    Level = "info"
	Warning Level = "warning"
	Error   Level = "error"
)

// Definition is one entry of the catalogue.
type Definition struct {
	Number int
	Name   string // snake_case
	Level  Level
	Text   string
	Fields []string // names of the fields that the event may carry
}

// Range is a block of a hundred event numbers that share a subject.
type Range struct {
	First       int
	Subject     string
	Definitions []Definition
}

// Ranges lists the catalogue by subject, in order of number.
func Ranges() []Range {
	return []Range{
		{100, "Process", processDefinitions},
		{200, "Configuration", configurationDefinitions},
		{300, "Flows", flowDefinitions},
		{400, "Membership", membershipDefinitions},
		{500, "Requests", requestDefinitions},
		{600, "Trust", trustDefinitions},
		{700, "Transport", transportDefinitions},
		{800, "Opaque flows", slices.Concat(publicationDefinitions, steeringDefinitions)},
	}
}

var catalogue = index(Ranges())

func index(ranges []Range) map[int]*Definition {
	all := map[int]*Definition{}
	for _, r := range ranges {
		for i := range r.Definitions {
			d := &r.Definitions[i]
			if all[d.Number] != nil || d.Number < r.First || d.Number >= r.First+100 {
				panic(fmt.Sprintf("event %d (%s) is defined twice or outside its range", d.Number, d.Name))
			}
			all[d.Number] = d
		}
	}
	return all
}

// Lookup returns the definition of an event number, or nil.
func Lookup(number int) *Definition {
	return catalogue[number]
}

// F returns one named field of an event.
func F(name string, value any) currantturn.Field {
	return currantturn.Field{Name: name, Value: value}
}

// Check reports ErrMalformed for an event whose number or field names are not
// in the catalogue.
func Check(e currantturn.Event) error {
	d := Lookup(e.Number)
	if d == nil {
		return eris.Wrapf(currantturn.ErrMalformed, "event %d is not in the catalogue", e.Number)
	}
	for _, f := range e.Fields {
		if !slices.Contains(d.Fields, f.Name) {
			return eris.Wrapf(currantturn.ErrMalformed, "event %d (%s) has no field %q", d.Number, d.Name, f.Name)
		}
	}
	return nil
}

// fields splits the names of an event's fields.
func fields(names string) []string {
	return strings.Fields(names)
}
