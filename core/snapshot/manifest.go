package snapshot

import (
	"crypto/ed25519"

	"mangoshed.example/mangoshed/core/model"
)

// ManifestKey is the store's key of the current manifest.
const ManifestKey = "manifest"

// SegmentKey returns the store's key of a segment.
func SegmentKey(digest model.Digest) string { return "segments/" + digest.String() }

// manifestFormat is the first element of an encoded manifest.
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

// EncodeManifest returns the deterministic CBOR form. The error is an *Error.
func EncodeManifest(m Manifest) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	return encode(manifestWire{
		Format: manifestFormat, Version: uint64(m.Version), PublishedMillis: m.PublishedMillis, KeyID: m.KeyID,
		Signature: m.Signature, TableDigest: m.TableDigest, Segments: m.Segments,
	}), nil
}

// DecodeManifest reads a manifest and checks its form, not its signature, which Open
// checks. The error is an *Error.
func DecodeManifest(data []byte) (Manifest, error) {
	if len(data) > MaxManifestBytes {
		return Manifest{}, fail(TooLarge, 0, nil, "the manifest has %d bytes, at most %d are accepted", len(data), MaxManifestBytes)
	}
	var w manifestWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Manifest{}, fail(Malformed, 0, err, "the manifest cannot be decoded")
	}
	if w.Format != manifestFormat {
		return Manifest{}, fail(Malformed, 0, nil, "manifest format %d is unknown", w.Format)
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

// check reports a header whose form is wrong.
func (h *Header) check() error {
	switch {
	case h.Version == 0:
		return fail(Malformed, 0, nil, "version 0 means none; versions start at 1")
	case h.PublishedMillis < 0 || h.PublishedMillis > maxMillis:
		return fail(Malformed, h.Version, nil, "the time of publication is out of range")
	case len(h.Signature) == 0 && h.KeyID == "":
		return nil
	case len(h.Signature) != ed25519.SignatureSize || !isKeyID(h.KeyID):
		return fail(Malformed, h.Version, nil, "the signature or the key ID has the wrong form")
	}
	return nil
}

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

// check reports a manifest whose form is wrong.
func (m *Manifest) check() error {
	if err := m.Header.check(); err != nil {
		return err
	}
	if len(m.Segments) == 0 || len(m.Segments) > MaxSegments {
		return fail(Malformed, m.Version, nil, "the manifest names %d segments, not 1 to %d", len(m.Segments), MaxSegments)
	}
	total := 0
	for _, ref := range m.Segments {
		if ref.Size < 2 || ref.Size > MaxSegmentBytes {
			return fail(Malformed, m.Version, nil, "a segment has %d bytes, not 2 to %d", ref.Size, MaxSegmentBytes)
		}
		total += int(ref.Size)
	}
	if total > MaxVersionBytes {
		return fail(TooLarge, m.Version, nil, "the segments have %d bytes, at most %d are accepted", total, MaxVersionBytes)
	}
	return nil
}
