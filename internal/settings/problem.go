package settings

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid reports a settings file that has mistakes or cannot be read.
var ErrInvalid = errors.New("invalid settings")

// Problem is one mistake in a settings file.
type Problem struct {
	File    string
	Section string // empty if the problem concerns the whole file
	Key     string // empty if the problem concerns the whole section
	Text    string
}

// String formats the problem on one line.
func (p Problem) String() string {
	switch {
	case p.Section == "":
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	case p.Key == "":
		return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Text)
	default:
		return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Text)
	}
}

// Problems are all mistakes found in one settings file; errors.Is matches them
// with ErrInvalid.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool {
	return target == ErrInvalid
}
