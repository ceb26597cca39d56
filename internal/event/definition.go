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

// Definition describes one event of the catalogue.
type Definition struct {
	Number int
	Name   string // snake_case
	Level  Level
	Text   string   // message of the log line
	Fields []string // names of the fields that the event may have
}

// Range is a block of a hundred event numbers on one subject.
type Range struct {
	First       int // lowest number of the block
	Subject     string
	Definitions []Definition
}

// Ranges returns the catalogue by subject, in ascending order of the numbers.
func Ranges() []Range {
	return []Range{
		{100, "Process", processDefinitions},
		{200, "Configuration", configurationDefinitions},
		{300, "Flows", flowDefinitions},
		{400, "Membership", membershipDefinitions},
		{500, "Requests", requestDefinitions},
		{600, "Trust", trustDefinitions},
		{700, "Transport", transportDefinitions},
		{800, "Opaque flows", slices.Concat(stateSyncDefinitions, opaqueFlowDefinitions)},
	}
}

// catalogue holds the definitions by event number.
var catalogue = indexByNumber(Ranges())

// indexByNumber maps event numbers to their definitions. It panics if a number is
// used twice or lies outside its range.
func indexByNumber(ranges []Range) map[int]*Definition {
	byNumber := map[int]*Definition{}
	for _, r := range ranges {
		for i := range r.Definitions {
			d := &r.Definitions[i]
			if byNumber[d.Number] != nil || d.Number < r.First || d.Number >= r.First+100 {
				panic(fmt.Sprintf("event %d (%s) is defined twice or outside its range", d.Number, d.Name))
			}
			byNumber[d.Number] = d
		}
	}
	return byNumber
}

// Lookup returns the definition of an event number, or nil if there is none.
func Lookup(number int) *Definition {
	return catalogue[number]
}

// F returns an event field with the given name and value.
func F(name string, value any) currantturn.Field {
	return currantturn.Field{Name: name, Value: value}
}

// Check returns ErrMalformed if the event's number or one of its field names is
// not in the catalogue.
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

// fields splits a list of field names at its spaces.
func fields(names string) []string {
	return strings.Fields(names)
}
