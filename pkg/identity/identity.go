// Package identity proves who a daemon or an own service is: it loads, reloads and
// checks the TLS certificates that mutual TLS between them uses. A certificate names
// its holder by one URI: mangoshed://instance/ID for the daemon beside an instance, or
// mangoshed://service/NAME for an own service that only calls.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const uriScheme = "mangoshed"

// Peer is the holder of a verified certificate. Exactly one field is set.
type Peer struct {
	// Instance is set for the daemon beside an instance.
	Instance model.InstanceID
	// Service is set for an own service that only calls.
	Service string
}

// Files names the PEM files of an identity.
type Files struct {
	// CA holds the certificates of the authorities that are trusted, one or more, so
	// that an authority can be rotated.
	CA string
	// Cert and Key hold the own certificate and its private key.
	Cert string
	Key  string
}

// Error reports certificate material that cannot be used.
type Error struct {
	// File is the file concerned; empty when the material did not come from a file.
	File string
	// Reason says what is wrong and Remedy what to do.
	Reason string
	Remedy string
	// Err is the underlying error; it may be nil.
	Err error
}

// Error names the file, the reason and the remedy.
func (e *Error) Error() string {
	text := "certificate: " + e.Reason
	if e.File != "" {
		text = e.File + ": " + e.Reason
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; " + e.Remedy
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// material is one consistent set of certificates.
type material struct {
	roots *x509.CertPool
	cert  tls.Certificate
	self  Peer
}

// Source holds the current certificates. It is safe for concurrent use; TLS
// configurations made from it use the newest certificates for each handshake.
type Source struct {
	files   Files
	current atomic.Pointer[material]
}

// Load reads the files. It returns an *Error when one cannot be read or used.
func Load(files Files) (*Source, error) {
	s := &Source{files: files}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. On an *Error the certificates in use stay as they are.
func (s *Source) Reload() error {
	ca, err := readFile(s.files.CA)
	if err != nil {
		return err
	}
	cert, err := readFile(s.files.Cert)
	if err != nil {
		return err
	}
	key, err := readFile(s.files.Key)
	if err != nil {
		return err
	}
	loaded, err := parseMaterial(ca, cert, key)
	if err != nil {
		var idErr *Error
		if errors.As(err, &idErr) && idErr.File == "" {
			idErr.File = s.files.Cert
		}
		return err
	}
	if used := s.current.Load(); used != nil && used.self != loaded.self {
		return &Error{
			File: s.files.Cert, Reason: fmt.Sprintf("names %s, but the one in use names %s", loaded.self, used.self),
			Remedy: "put the files of " + used.self.String() + " back; those in use stay in use until then",
		}
	}
	s.current.Store(loaded)
	return nil
}

// FromPEM returns a Source over PEM material in memory; Reload is not available on it.
func FromPEM(ca, cert, key []byte) (*Source, error) {
	loaded, err := parseMaterial(ca, cert, key)
	if err != nil {
		return nil, err
	}
	s := &Source{}
	s.current.Store(loaded)
	return s, nil
}

// Self returns the holder of the own certificate.
func (s *Source) Self() Peer { return s.current.Load().self }

// Expiry returns the end of the own certificate's validity.
func (s *Source) Expiry() time.Time { return s.current.Load().cert.Leaf.NotAfter }

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{File: name, Reason: "cannot be read", Remedy: "check the path and the permissions in the tls settings", Err: err}
	}
	return data, nil
}

func parseMaterial(ca, cert, key []byte) (*material, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &Error{Reason: "certificate and key do not fit", Remedy: "issue both together with mangoshedctl keys instance", Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, &Error{Reason: "the authority file holds no certificate", Remedy: "set tls.ca_file to the file written by mangoshedctl keys authority"}
	}
	self, err := peerOfCertificate(pair.Leaf)
	if err != nil {
		return nil, err
	}
	return &material{roots: roots, cert: pair, self: self}, nil
}

// PeerOf returns the holder of the verified certificate of a connection. It returns an
// *Error when there is none or when it names no holder.
func PeerOf(state tls.ConnectionState) (Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return Peer{}, &Error{Reason: "the peer presented none", Remedy: "connect with a certificate of the fleet's authority"}
	}
	return peerOfCertificate(state.PeerCertificates[0])
}

func peerOfCertificate(cert *x509.Certificate) (Peer, error) {
	for _, uri := range cert.URIs {
		if peer, ok := peerOfURI(uri); ok {
			return peer, nil
		}
	}
	return Peer{}, &Error{Reason: "it names no instance and no service", Remedy: "issue it with mangoshedctl keys instance or keys service"}
}

func peerOfURI(uri *url.URL) (Peer, bool) {
	name := strings.TrimPrefix(uri.Path, "/")
	if uri.Scheme != uriScheme || name == "" {
		return Peer{}, false
	}
	switch uri.Host {
	case "instance":
		return Peer{Instance: model.InstanceID(name)}, true
	case "service":
		return Peer{Service: name}, true
	}
	return Peer{}, false
}

// String returns the holder as logs show it.
func (p Peer) String() string {
	if p.Instance != "" {
		return "instance/" + string(p.Instance)
	}
	return "service/" + p.Service
}

func (p Peer) uri() *url.URL {
	if p.Instance != "" {
		return &url.URL{Scheme: uriScheme, Host: "instance", Path: "/" + string(p.Instance)}
	}
	return &url.URL{Scheme: uriScheme, Host: "service", Path: "/" + p.Service}
}

// ServerTLS returns a configuration that accepts only peers with a certificate of a
// trusted authority.
func (s *Source) ServerTLS(protos ...string) *tls.Config {
	config := s.base(protos)
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = s.verifier(x509.ExtKeyUsageClientAuth, "")
	return config
}

// OptionalServerTLS returns a configuration that also accepts peers without a
// certificate; PeerOf tells them apart.
func (s *Source) OptionalServerTLS(protos ...string) *tls.Config {
	config := s.base(protos)
	config.ClientAuth = tls.RequestClientCert
	verify := s.verifier(x509.ExtKeyUsageClientAuth, "")
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return nil
		}
		return verify(state)
	}
	return config
}

// ClientTLS returns a configuration that connects only to the daemon beside the given
// instance, whatever its address.
func (s *Source) ClientTLS(peer model.InstanceID, protos ...string) *tls.Config {
	config := s.base(protos)
	// The name check is by instance ID in VerifyConnection, because addresses are
	// reused by other instances.
	config.InsecureSkipVerify = true
	config.VerifyConnection = s.verifier(x509.ExtKeyUsageServerAuth, peer)
	return config
}

// base returns the parts that both sides share. The certificate is looked up for each
// handshake, so that a reload takes effect without a restart.
func (s *Source) base(protos []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protos,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		// A resumed session would skip the check against a rotated authority.
		SessionTicketsDisabled: true,
	}
}

// verifier checks a peer's chain against the newest authorities and, if want is set,
// the instance that it names.
func (s *Source) verifier(usage x509.ExtKeyUsage, want model.InstanceID) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		peer, err := PeerOf(state)
		if err != nil {
			return err
		}
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: s.current.Load().roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return &Error{Reason: "it is not valid", Remedy: "issue it anew with the fleet's authority", Err: err}
		}
		if want != "" && peer.Instance != want {
			return &Error{Reason: fmt.Sprintf("it names %s, not instance/%s", peer, want), Remedy: "the address belongs to another instance now; refresh the instance list"}
		}
		return nil
	}
}
