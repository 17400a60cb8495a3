package snapshot

import (
	"crypto/ed25519"

	"mangoshed.example/mangoshed/core/model"
)

// ManifestKey is the key of the current manifest in the store.
const ManifestKey = "manifest"

// SegmentKey returns the key of a segment in the store.
func SegmentKey(digest model.Digest) string { return "segments/" + digest.String() }

// manifestFormat is the format version, which is the first element of an encoded manifest.
const manifestFormat = 1

// manifestWire is the encoded form of a Manifest.
type manifestWire struct {
	_               struct{} `cbor:",toarray"`
	Format          uint8
	Version         uint64
	PublishedMillis int64
	KeyID           string
	Signature       []byte
	TableDigest     model.Digest
	Segments        []SegmentRef
}

// EncodeManifest returns the deterministic CBOR encoding of a manifest. The error is an *Error.
func EncodeManifest(m Manifest) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	return encode(manifestWire{
		Format: manifestFormat, Version: uint64(m.Version), PublishedMillis: m.PublishedMillis, KeyID: m.KeyID,
		Signature: m.Signature, TableDigest: m.TableDigest, Segments: m.Segments,
	}), nil
}

// DecodeManifest decodes a manifest and checks that it is well-formed. It does not verify the
// signature; Open does. The error is an *Error.
func DecodeManifest(data []byte) (Manifest, error) {
	if len(data) > MaxManifestBytes {
		return Manifest{}, newError(TooLarge, 0, nil, "the manifest has %d bytes, at most %d are accepted", len(data), MaxManifestBytes)
	}
	var w manifestWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Manifest{}, newError(Malformed, 0, err, "the manifest cannot be decoded")
	}
	if w.Format != manifestFormat {
		return Manifest{}, newError(Malformed, 0, nil, "manifest format %d is unknown", w.Format)
	}
	m := Manifest{
		Header:      Header{Version: model.Version(w.Version), PublishedMillis: w.PublishedMillis, KeyID: w.KeyID, Signature: w.Signature},
		TableDigest: w.TableDigest, Segments: w.Segments,
	}
	if err := m.check(); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

// check returns an error if the header is malformed. It does not verify the signature.
func (h *Header) check() error {
	switch {
	case h.Version == 0:
		return newError(Malformed, 0, nil, "version 0 stands for no version; versions start at 1")
	case h.PublishedMillis < 0 || h.PublishedMillis > maxMillis:
		return newError(Malformed, h.Version, nil, "the publication time is out of range")
	case len(h.Signature) == 0 && h.KeyID == "":
		return nil
	case len(h.Signature) != ed25519.SignatureSize || !isKeyID(h.KeyID):
		return newError(Malformed, h.Version, nil, "the signature or the key ID is malformed")
	}
	return nil
}

// isKeyID reports whether id has the form of a key ID: 8 lower-case hex digits.
func isKeyID(id string) bool {
	if len(id) != 2*keyIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// check returns an error if the manifest is malformed or exceeds a limit.
func (m *Manifest) check() error {
	if err := m.Header.check(); err != nil {
		return err
	}
	if len(m.Segments) == 0 || len(m.Segments) > MaxSegments {
		return newError(Malformed, m.Version, nil, "the manifest lists %d segments, not 1 to %d", len(m.Segments), MaxSegments)
	}
	total := 0
	for _, ref := range m.Segments {
		if ref.Size < 2 || ref.Size > MaxSegmentBytes {
			return newError(Malformed, m.Version, nil, "a segment has %d bytes, not 2 to %d", ref.Size, MaxSegmentBytes)
		}
		total += int(ref.Size)
	}
	if total > MaxVersionBytes {
		return newError(TooLarge, m.Version, nil, "the segments have %d bytes, at most %d are accepted", total, MaxVersionBytes)
	}
	return nil
}
