// Package faultlist collects all faults of an input, so that one run reports every one.
package faultlist

import "strings"

// List holds the faults of one input in its order. It is an error.
type List[E error] struct {
	List []E
}

// Error returns one line per fault.
func (l *List[E]) Error() string {
	lines := make([]string, len(l.List))
	for i, fault := range l.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults.
func (l *List[E]) Unwrap() []error {
	list := make([]error, len(l.List))
	for i, fault := range l.List {
		list[i] = fault
	}
	return list
}
