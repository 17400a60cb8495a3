package snapshot

import (
	"errors"
	"fmt"

	"mangoshed.example/mangoshed/core/model"
)

// Kind classes the reasons for which a snapshot, manifest or delta is rejected.
type Kind string

// The kinds of an Error.
const (
	Malformed      Kind = "malformed"       // truncated, or not in the expected encoding
	TooLarge       Kind = "too_large"       // exceeds a bound
	DigestMismatch Kind = "digest_mismatch" // the contents are not those that the header names
	WrongBase      Kind = "wrong_base"      // the delta is for another base version
	NotNewer       Kind = "not_newer"       // the target version does not exceed the base version
	InvalidTable   Kind = "invalid_table"   // the table breaks a rule; Err is a *table.Errors
	Unsigned       Kind = "unsigned"        // keys are configured and the header has no signature
	BadSignature   Kind = "bad_signature"   // no configured key made the signature
	BadKey         Kind = "bad_key"         // a key that cannot be used
)

// remedies is what an operator can do about an Error of each kind.
var remedies = map[Kind]string{
	Malformed:      "read the version again from another source; if it persists, publish it again under a higher version",
	TooLarge:       "split the table, or publish one within the documented bounds",
	DigestMismatch: "read the manifest and segments again; if it persists, publish again under a higher version",
	WrongBase:      "read the full version",
	NotNewer:       "publish under a higher version",
	InvalidTable:   "correct the table with mangoshedctl table check and publish it under a higher version",
	Unsigned:       "publish with mangoshedctl table build --sign",
	BadSignature:   "sign with a key whose public half is in signing_keys",
	BadKey:         "make a key pair with mangoshedctl keys sign",
}

// Error says why a snapshot, manifest, delta or key was rejected.
type Error struct {
	Kind    Kind
	Version model.Version // the version concerned, 0 when unknown
	Detail  string
	Remedy  string
	Err     error // the cause, may be nil
}

// Error returns the kind, version, detail, cause and remedy.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Version != 0 {
		text += fmt.Sprintf(" (version %d)", e.Version)
	}
	text += ": " + e.Detail
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first *Error in the chain of err, "" without one.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func fail(kind Kind, v model.Version, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Version: v, Detail: fmt.Sprintf(format, args...), Remedy: remedies[kind], Err: cause}
}
