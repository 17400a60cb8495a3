package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"
)

const (
	// AuthorityValidity is the life of an authority's certificate.
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	// LeafValidity is the default life of a leaf certificate.
	LeafValidity = 90 * 24 * time.Hour
	// backdate allows for clocks that are behind the issuer's.
	backdate = 5 * time.Minute
)

// Authority issues certificates for a small site.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
	pem  []byte
}

// KeyPair is a certificate and its private key in PEM form.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority makes an authority with a new key. name becomes its common name.
func NewAuthority(name string, now time.Time) (*Authority, KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, KeyPair{}, err
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(AuthorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	pair, cert, err := sign(template, template, key, key)
	if err != nil {
		return nil, KeyPair{}, err
	}
	return &Authority{cert: cert, key: key, pem: pair.Cert}, pair, nil
}

// OpenAuthority reads an authority from its PEM form. It returns an *Error when the
// material cannot be used.
func OpenAuthority(pair KeyPair) (*Authority, error) {
	remedy := "use the two files written by mangoshedctl keys authority"
	certBlock, _ := pem.Decode(pair.Cert)
	keyBlock, _ := pem.Decode(pair.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, &Error{Reason: "the authority's files are not PEM", Remedy: remedy}
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, &Error{Reason: "the authority's certificate cannot be parsed", Remedy: remedy, Err: err}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, &Error{Reason: "the authority's key cannot be parsed", Remedy: remedy, Err: err}
	}
	key, ok := parsed.(crypto.Signer)
	if !ok || !cert.IsCA {
		return nil, &Error{Reason: "the files do not belong to an authority", Remedy: remedy}
	}
	return &Authority{cert: cert, key: key, pem: pair.Cert}, nil
}

// CertPEM returns the authority's certificate, the content of tls.ca_file.
func (a *Authority) CertPEM() []byte { return a.pem }

// Issue makes a certificate with a new key for the holder.
func (a *Authority) Issue(holder Peer, now time.Time, validity time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: holder.String()},
		URIs:        []*url.URL{holder.uri()},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	pair, _, err := sign(template, a.cert, key, a.key)
	return pair, err
}

// sign completes the template with a random serial number and encodes the pair.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.Signer) (KeyPair, *x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return KeyPair{}, nil, err
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return KeyPair{}, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return KeyPair{}, nil, err
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, cert, nil
}
