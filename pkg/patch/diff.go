package patch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/currantturn/currantturn"
)

// Action is what happens to the service, backend server or field of a change.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Action  Action                  `json:"action"`
	Service currantturn.ServiceName `json:"service"`
	Backend currantturn.BackendID   `json:"backend_server,omitempty"`
	Field   string                  `json:"field,omitempty"`
	From    string                  `json:"from,omitempty"`
	To      string                  `json:"to,omitempty"`
}

// Diff is a list of changes, ordered by service, then by backend server.
type Diff []Change

// Compare returns the changes from one list of services to another; both must be
// sorted by name.
func Compare(from, to []currantturn.Service) Diff {
	var d Diff
	mergeSorted(from, to, func(a, b *currantturn.Service) int { return compareStrings(a.Name, b.Name) }, func(a, b *currantturn.Service) {
		switch {
		case a == nil:
			d = append(d, Change{Action: Added, Service: b.Name, To: describeService(b)})
		case b == nil:
			d = append(d, Change{Action: Removed, Service: a.Name, From: describeService(a)})
		default:
			d = d.appendService(a, b)
		}
	})
	return d
}

// mergeSorted walks two sorted slices in step and calls visit once for each key,
// with nil for the side that does not have the key.
func mergeSorted[T any](from, to []T, compareKeys func(a, b *T) int, visit func(a, b *T)) {
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		c := 0
		switch {
		case i == len(from):
			c = 1
		case j == len(to):
			c = -1
		default:
			c = compareKeys(&from[i], &to[j])
		}
		switch {
		case c < 0:
			visit(&from[i], nil)
			i++
		case c > 0:
			visit(nil, &to[j])
			j++
		default:
			visit(&from[i], &to[j])
			i++
			j++
		}
	}
}

// appendService appends the changes between two versions of a service.
func (d Diff) appendService(a, b *currantturn.Service) Diff {
	d = d.appendField(a.Name, "", "addresses", fmt.Sprint(a.Addresses), fmt.Sprint(b.Addresses))
	for _, r := range limitRanges {
		d = d.appendField(a.Name, "", "limits."+r.field, strconv.Itoa(*r.get(&a.Limits)), strconv.Itoa(*r.get(&b.Limits)))
	}
	compareIDs := func(x, y *currantturn.BackendServer) int { return compareStrings(x.ID, y.ID) }
	mergeSorted(a.Backends, b.Backends, compareIDs, func(x, y *currantturn.BackendServer) {
		switch {
		case x == nil:
			d = append(d, Change{Action: Added, Service: a.Name, Backend: y.ID, To: describeBackend(y)})
		case y == nil:
			d = append(d, Change{Action: Removed, Service: a.Name, Backend: x.ID, From: describeBackend(x)})
		default:
			d = d.appendBackend(a.Name, x, y)
		}
	})
	return d
}

// appendBackend appends the changes between two versions of a backend server.
func (d Diff) appendBackend(s currantturn.ServiceName, x, y *currantturn.BackendServer) Diff {
	d = d.appendField(s, x.ID, "failure_domain", string(x.FailureDomain), string(y.FailureDomain))
	d = d.appendField(s, x.ID, "agent", x.Agent.String(), y.Agent.String())
	d = d.appendField(s, x.ID, "stream", x.Stream.String(), y.Stream.String())
	d = d.appendField(s, x.ID, "slots", strconv.Itoa(x.Slots), strconv.Itoa(y.Slots))
	d = d.appendField(s, x.ID, "weight", strconv.Itoa(x.Weight), strconv.Itoa(y.Weight))
	return d.appendField(s, x.ID, "state", string(x.State), string(y.State))
}

// appendField appends a change if the two values of a field differ.
func (d Diff) appendField(s currantturn.ServiceName, id currantturn.BackendID, name, from, to string) Diff {
	if from == to {
		return d
	}
	return append(d, Change{Action: Changed, Service: s, Backend: id, Field: name, From: from, To: to})
}

func describeService(s *currantturn.Service) string {
	return fmt.Sprintf("addresses %v, %d backend servers", s.Addresses, len(s.Backends))
}

func describeBackend(b *currantturn.BackendServer) string {
	return fmt.Sprintf(
		"%s, agent %s, stream %s, slots %d, weight %d, %s",
		b.FailureDomain, b.Agent, b.Stream, b.Slots, b.Weight, b.State,
	)
}

// actionMarks are the characters that start the line of a change.
var actionMarks = map[Action]string{Added: "+", Removed: "-", Changed: "~"}

// String returns the change as one line of text.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s service %s", actionMarks[c.Action], c.Service)
	if c.Backend != "" {
		fmt.Fprintf(&b, ", backend server %s", c.Backend)
	}
	switch c.Action {
	case Changed:
		fmt.Fprintf(&b, ": %s %s -> %s", c.Field, c.From, c.To)
	case Added:
		fmt.Fprintf(&b, ": %s", c.To)
	case Removed:
		fmt.Fprintf(&b, ": %s", c.From)
	}
	return b.String()
}
