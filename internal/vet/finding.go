package vet

import "fmt"

// Severity says what a finding means for the configuration.
type Severity string

// Severities.
const (
	// SeverityError is a part that does not take effect, or keeps all of it out of force.
	SeverityError Severity = "error"
	// SeverityWarning is a part that takes effect, but hardly as intended.
	SeverityWarning Severity = "warning"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Entry    string   `json:"entry"` // the part that it concerns
	Text     string   `json:"text"`
}

// String formats the finding as a line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Text)
}

// Errorf returns a finding that is an error.
func Errorf(entry, format string, args ...any) Finding {
	return Finding{SeverityError, entry, fmt.Sprintf(format, args...)}
}

// Warningf returns a finding that is a warning.
func Warningf(entry, format string, args ...any) Finding {
	return Finding{SeverityWarning, entry, fmt.Sprintf(format, args...)}
}

// HasErrors reports whether any of the findings is an error.
func HasErrors(all []Finding) bool {
	for _, f := range all {
		if f.Severity == SeverityError {
			return true
		}
	}
	return false
}
