package catalog

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// Bounds of an instance's fields. An entry of the store may come from a faulty writer, and a figure
// that can be read may still be absurd.
const (
	// MaxNameBytes bounds the ID and the service, which are sent in headers.
	MaxNameBytes = 200
	// MaxSlots bounds the slots of an upstream. With more, its queue would never hold a request back.
	MaxSlots = 10_000
	// MaxWarm bounds the warm-up time. For as long, an instance counts as slow.
	MaxWarm = time.Hour
	// MaxIncarnation is a start time in Unix milliseconds, in the year 2248. An instance with a later
	// one would stand in for all that start at its address.
	MaxIncarnation = 1 << 43
)

// EntryError describes a field of a store entry that no instance can have.
type EntryError struct {
	Field, Value, Problem, Remedy string
}

// Error names the field, its value, shortened, the problem and the remedy.
func (e *EntryError) Error() string {
	const maxValue = 60
	value := e.Value
	if len(value) > maxValue {
		value = value[:maxValue] + "..."
	}
	return fmt.Sprintf("%s %q: %s; %s", e.Field, value, e.Problem, e.Remedy)
}

// Validate returns an *EntryError if the instance cannot be one.
func (i *Instance) Validate() error {
	const remedy = "correct the entry, or remove it"
	fail := func(field, value, problem string) error {
		return &EntryError{Field: field, Value: value, Problem: problem, Remedy: remedy}
	}
	address, err := netip.ParseAddrPort(i.Upstream)
	switch {
	case !isName(string(i.ID)):
		return fail("id", string(i.ID), "not 1 to 200 visible ASCII characters")
	case !isName(i.Service):
		return fail("service", i.Service, "not 1 to 200 visible ASCII characters")
	case err != nil || !address.Addr().Is4() || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return fail("address", i.Upstream, "not the IPv4 address and port of one host")
	case i.Slots <= 0 || i.Slots > MaxSlots:
		return fail("slots", strconv.Itoa(i.Slots), "out of range")
	case i.Warm < 0 || i.Warm > MaxWarm:
		return fail("warm-up time", i.Warm.String(), "out of range")
	case i.Incarnation > MaxIncarnation:
		return fail("start time", strconv.FormatUint(i.Incarnation, 10), "out of range")
	}
	return nil
}

// isName reports whether the text can be sent in a header and is not too long.
func isName(text string) bool {
	if text == "" || len(text) > MaxNameBytes {
		return false
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
