package peer

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/quic-go/quic-go"

	"mangoshed.example/mangoshed/core/model"
)

// Kind classes the ends of links.
type Kind string

// The kinds of ends.
const (
	KindClosed      Kind = "closed"      // by either side, on purpose
	KindUnreachable Kind = "unreachable" // nothing answers at the address, or the path is broken
	KindRefused     Kind = "refused"     // by the peer, or the peer's certificate is not accepted
	KindSuperseded  Kind = "superseded"  // the peer's own dial takes precedence
	KindReplaced    Kind = "replaced"    // by a newer link to the same peer
	KindMalformed   Kind = "malformed"   // a frame breaks the protocol
	KindOverflow    Kind = "overflow"    // the peer reads too slowly
)

// remedies tells what to do about each kind.
var remedies = map[Kind]string{
	KindClosed:      "nothing, it is dialled again when needed",
	KindUnreachable: "check that the daemon runs and that UDP reaches its control address",
	KindRefused:     "check the certificates of both sides and the peer's log",
	KindSuperseded:  "nothing, the peer's link is used",
	KindReplaced:    "nothing, the newer link is used",
	KindMalformed:   "check that both daemons run compatible releases",
	KindOverflow:    "check the peer's load and the path to it",
}

// Error tells why a link ended or could not be made.
type Error struct {
	Kind Kind
	Peer model.InstanceID
	// Err is the cause.
	Err error
}

// Error names the peer, the cause and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("link to %q %s: %v; %s", e.Peer, e.Kind, e.Err, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Application error codes that a connection is closed with.
const (
	codeClosed     quic.ApplicationErrorCode = 0
	codeSuperseded quic.ApplicationErrorCode = 1
	codeMalformed  quic.ApplicationErrorCode = 2
	codeOverflow   quic.ApplicationErrorCode = 3
	codeRefused    quic.ApplicationErrorCode = 4
	codeReplaced   quic.ApplicationErrorCode = 5
)

var kindOfCode = map[quic.ApplicationErrorCode]Kind{
	codeClosed: KindClosed, codeSuperseded: KindSuperseded, codeMalformed: KindMalformed,
	codeOverflow: KindOverflow, codeRefused: KindRefused, codeReplaced: KindReplaced,
}

// classify returns the typed form of an error of a connection or stream.
func classify(peer model.InstanceID, err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	kind := KindUnreachable
	var app *quic.ApplicationError
	var transport *quic.TransportError
	switch {
	case errors.As(err, &app):
		kind = KindClosed
		if k, ok := kindOfCode[app.ErrorCode]; ok {
			kind = k
		}
	case errors.Is(err, syscall.ECONNREFUSED):
	case errors.As(err, &transport):
		if transport.ErrorCode.IsCryptoError() || transport.ErrorCode == quic.ConnectionRefused {
			kind = KindRefused
		}
	case errors.Is(err, io.EOF):
		kind = KindClosed
	}
	return &Error{Kind: kind, Peer: peer, Err: err}
}
