package snapshot

import (
	"errors"
	"fmt"

	"mangoshed.example/mangoshed/core/model"
)

// Kind classifies the reasons for rejecting a snapshot, manifest, delta or key.
type Kind string

// Kinds of errors.
const (
	Malformed      Kind = "malformed"       // truncated, or not in the expected encoding or form
	TooLarge       Kind = "too_large"       // exceeds a limit
	DigestMismatch Kind = "digest_mismatch" // the contents do not match the expected digest
	WrongBase      Kind = "wrong_base"      // the delta is for another base version
	NotNewer       Kind = "not_newer"       // the target version is not newer than the base version
	InvalidTable   Kind = "invalid_table"   // the table is invalid; Err is a *table.Errors
	Unsigned       Kind = "unsigned"        // keys are configured, but the header has no signature
	BadSignature   Kind = "bad_signature"   // the signature is not valid for any configured key
	BadKey         Kind = "bad_key"         // the key is malformed, of the wrong type or a duplicate, or there are too many keys
)

// remedies holds, for each kind of error, what an operator can do about it.
var remedies = map[Kind]string{
	Malformed:      "read the version again from another source; if the error persists, publish it again under a higher version",
	TooLarge:       "split the table, or publish one within the documented limits",
	DigestMismatch: "read the manifest and segments again; if the error persists, publish again under a higher version",
	WrongBase:      "read the full version",
	NotNewer:       "publish under a higher version",
	InvalidTable:   "correct the table with mangoshedctl table check and publish it under a higher version",
	Unsigned:       "publish with mangoshedctl table build --sign",
	BadSignature:   "sign with a key whose public key is in signing_keys",
	BadKey:         "make a key pair with mangoshedctl keys sign",
}

// Error reports why a snapshot, manifest, delta or key was rejected.
type Error struct {
	Kind    Kind
	Version model.Version // the rejected version, 0 if unknown
	Detail  string
	Remedy  string
	Err     error // the cause, nil if there is none
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

// KindOf returns the kind of the first *Error in the chain of err, or "" if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// newError returns an Error with the remedy of its kind. The cause may be nil.
func newError(kind Kind, v model.Version, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Version: v, Detail: fmt.Sprintf(format, args...), Remedy: remedies[kind], Err: cause}
}
