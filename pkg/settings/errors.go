package settings

import (
	"fmt"
	"strings"

	"mangoshed.example/mangoshed/core/faultlist"
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
type Errors = faultlist.List[*Error]
