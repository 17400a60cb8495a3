// Package faultlist collects all validation errors of an input, so that they are reported
// together instead of one per run.
package faultlist

import "strings"

// List is an error that contains the validation errors of one input, in the order of the input.
type List[E error] struct {
	List []E
}

// Error returns one line for each validation error.
func (l *List[E]) Error() string {
	lines := make([]string, len(l.List))
	for i, fault := range l.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual validation errors.
func (l *List[E]) Unwrap() []error {
	list := make([]error, len(l.List))
	for i, fault := range l.List {
		list[i] = fault
	}
	return list
}
