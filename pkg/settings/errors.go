package settings

import (
	"fmt"
	"strings"
)

// Error is one fault of the settings.
type Error struct {
	// Source is the file, the environment variable or the flag that holds the value.
	Source string `json:"source,omitempty"`
	// Line is the line of the file, 0 if the value is absent or from another source.
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Error returns the place, the key, the value, the problem and the remedy on one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Source != "" {
		b.WriteString(e.Source + ": ")
	}
	if e.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", e.Line)
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	if e.Value != "" {
		fmt.Fprintf(&b, "value %q: ", e.Value)
	}
	return b.String() + e.Problem + "; " + e.Remedy
}

// Errors holds all faults of the settings.
type Errors struct {
	List []*Error
}

// Error returns one line per fault.
func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, fault := range e.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults.
func (e *Errors) Unwrap() []error {
	list := make([]error, len(e.List))
	for i, fault := range e.List {
		list[i] = fault
	}
	return list
}
