package snapshot

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/pem"

	"mangoshed.example/mangoshed/core/model"
)

// maxKeys is the maximum number of configured keys: during a key rotation, the old and the new key
// are both accepted.
const maxKeys = 2

// keyIDBytes is the length of a key ID before hex encoding. The ID only selects one of the
// configured keys; security does not depend on it.
const keyIDBytes = 4

// privateKeyType is the type of the PEM block of a signing key in PKCS #8.
const privateKeyType = "PRIVATE KEY"

// KeyID returns the ID of a public key: the first 4 bytes of its SHA-256 in hex.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// Signer signs headers with an operator's Ed25519 key.
type Signer struct {
	key ed25519.PrivateKey
	id  string
}

// NewSigner returns a signer that uses the key. The error is an *Error of kind BadKey.
func NewSigner(key ed25519.PrivateKey) (*Signer, error) {
	if len(key) != ed25519.PrivateKeySize {
		return nil, newError(BadKey, 0, nil, "an Ed25519 private key has %d bytes, not %d", ed25519.PrivateKeySize, len(key))
	}
	public, _ := key.Public().(ed25519.PublicKey)
	return &Signer{key: key, id: KeyID(public)}, nil
}

// ParseSigner returns a signer for a private key in the format of FormatPrivateKey.
func ParseSigner(data []byte) (*Signer, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateKeyType {
		return nil, newError(BadKey, 0, nil, "the file contains no PEM block %q", privateKeyType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, newError(BadKey, 0, err, "the private key cannot be read")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, newError(BadKey, 0, nil, "the private key is a %T, not an Ed25519 key", parsed)
	}
	return NewSigner(key)
}

// FormatPrivateKey returns the key in PKCS #8 format, encoded as PEM.
func FormatPrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, newError(BadKey, 0, err, "the private key cannot be encoded")
	}
	return pem.EncodeToMemory(&pem.Block{Type: privateKeyType, Bytes: der}), nil
}

// FormatPublicKey returns the key in base64, the format of the setting signing_keys.
func FormatPublicKey(key ed25519.PublicKey) string { return base64.StdEncoding.EncodeToString(key) }

// ParsePublicKey decodes a public key in the format of FormatPublicKey.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, newError(BadKey, 0, err, "the public key is not base64")
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, newError(BadKey, 0, nil, "an Ed25519 public key has %d bytes, not %d", ed25519.PublicKeySize, len(key))
	}
	return key, nil
}

// PublicKey returns the public key that verifies the signer's signatures.
func (s *Signer) PublicKey() ed25519.PublicKey {
	public, _ := s.key.Public().(ed25519.PublicKey)
	return public
}

// Verifier verifies that headers are signed with one of a set of keys. A nil Verifier, or one
// without keys, requires no signature.
type Verifier struct {
	keys []ed25519.PublicKey
}

// NewVerifier returns a verifier for up to two distinct keys. The error is an *Error of kind
// BadKey.
func NewVerifier(keys ...ed25519.PublicKey) (*Verifier, error) {
	if len(keys) > maxKeys {
		return nil, newError(BadKey, 0, nil, "%d signing keys are configured, at most %d are accepted", len(keys), maxKeys)
	}
	for i, key := range keys {
		if len(key) != ed25519.PublicKeySize {
			return nil, newError(BadKey, 0, nil, "an Ed25519 public key has %d bytes, not %d", ed25519.PublicKeySize, len(key))
		}
		if i > 0 && key.Equal(keys[0]) {
			return nil, newError(BadKey, 0, nil, "key %s is listed twice", KeyID(key))
		}
	}
	return &Verifier{keys: keys}, nil
}

// Required reports whether headers must be signed.
func (v *Verifier) Required() bool { return v != nil && len(v.keys) > 0 }

// signedMessage returns the message that is signed for a version. Its prefix keeps the signature
// from being valid for other kinds of messages that are signed with the same key.
func signedMessage(v model.Version, millis int64, digest model.Digest) []byte {
	message := []byte("mangoshed table version 1\x00")
	message = binary.BigEndian.AppendUint64(message, uint64(v))
	message = binary.BigEndian.AppendUint64(message, uint64(millis))
	return append(message, digest[:]...)
}

// sign sets the key ID and the signature of the header.
func (s *Signer) sign(h *Header, digest model.Digest) {
	h.KeyID = s.id
	h.Signature = ed25519.Sign(s.key, signedMessage(h.Version, h.PublishedMillis, digest))
}

// check verifies the signature of the header if one is required.
func (v *Verifier) check(h Header, digest model.Digest) error {
	if !v.Required() {
		return nil
	}
	if len(h.Signature) == 0 {
		return newError(Unsigned, h.Version, nil, "the header is not signed, but signing_keys are configured")
	}
	for _, key := range v.keys {
		if KeyID(key) == h.KeyID && ed25519.Verify(key, signedMessage(h.Version, h.PublishedMillis, digest), h.Signature) {
			return nil
		}
	}
	return newError(BadSignature, h.Version, nil, "the signature is not valid for any of the configured keys (key ID %q)", h.KeyID)
}
