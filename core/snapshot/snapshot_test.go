package snapshot

import (
	"crypto/ed25519"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/core/table/tabletest"
)

var published = time.UnixMilli(1_790_000_000_000)

// testKey returns a signer, whose key is derived from the seed, and its verifier.
func testKey(t testing.TB, seed byte) (*Signer, *Verifier) {
	signer, err := NewSigner(ed25519.NewKeyFromSeed(slices.Repeat([]byte{seed}, ed25519.SeedSize)))
	require.NoError(t, err)
	verifier, err := NewVerifier(signer.PublicKey())
	require.NoError(t, err)
	return signer, verifier
}

// randomTable returns a table of 2 regions and 4 data centres that depends on the seed only.
func randomTable(seed uint64, rows int) *table.Table {
	return tabletest.Random(rand.New(rand.NewPCG(seed, 0)), rows, 2, 4)
}

// clone returns a copy of a table whose rows and cells can be modified independently.
func clone(t *table.Table) *table.Table {
	out := &table.Table{Layout: t.Layout, Rows: slices.Clone(t.Rows)}
	for i := range out.Rows {
		out.Rows[i].DataCentres = slices.Clone(out.Rows[i].DataCentres)
		out.Rows[i].Regions = slices.Clone(out.Rows[i].Regions)
	}
	return out
}

// build builds a snapshot and fails the test on an error.
func build(t testing.TB, tab *table.Table, v model.Version, signer *Signer) (*Snapshot, Manifest, [][]byte) {
	s, m, segments, err := Build(tab, v, published.Add(time.Duration(v)*time.Second), signer)
	require.NoError(t, err)
	return s, m, segments
}

// Guards against a snapshot that differs from the original after it has been encoded and decoded.
func TestOpenRestoresTheSnapshot(t *testing.T) {
	signer, verifier := testKey(t, 1)
	for name, tab := range map[string]*table.Table{
		"small": randomTable(1, 5),
		"large": tabletest.Random(rand.New(rand.NewPCG(2, 0)), 6000, 10, 39),
	} {
		t.Run(name, func(t *testing.T) {
			want, m, segments := build(t, tab, 3, signer)
			require.Equal(t, name == "large", len(segments) > 1)
			for _, segment := range segments {
				require.Less(t, len(segment), 900_000)
			}
			data, err := EncodeManifest(m)
			require.NoError(t, err)
			m, err = DecodeManifest(data)
			require.NoError(t, err)
			got, err := Open(m, segments, verifier)
			require.NoError(t, err)
			require.Equal(t, want, got)
			row, ok := got.Row("service-0003")
			require.True(t, ok)
			require.Equal(t, tab.Rows[3], *row)
			_, ok = got.Row("absent")
			require.False(t, ok)
		})
	}
}

// Guards against accepting a version that is damaged, forged or invalid.
func TestOpenRejects(t *testing.T) {
	signer, verifier := testKey(t, 1)
	other, _ := testKey(t, 2)
	good, _, _ := build(t, randomTable(1, 5), 3, signer)
	zeroWeights := &Snapshot{header: good.header, table: *clone(good.Table())}
	for i := range zeroWeights.table.Rows[2].DataCentres {
		zeroWeights.table.Rows[2].DataCentres[i].Weight = 0
	}
	zeroWeights.digest = tableDigest(zeroWeights.table.Layout, rowDigests(zeroWeights.table.Rows))
	signer.sign(&zeroWeights.header, zeroWeights.digest)
	tampered := &Snapshot{header: good.header, digest: good.digest, table: *clone(good.Table())}
	tampered.table.Rows[1].DataCentres[0].Weight++
	for name, test := range map[string]struct {
		from   *Snapshot
		change func(*Manifest, [][]byte)
		want   Kind
	}{
		"huge version, unsigned": {good, func(m *Manifest, _ [][]byte) {
			m.Header = Header{Version: math.MaxUint64, PublishedMillis: m.PublishedMillis}
		}, Unsigned},
		"huge version, stolen signature": {good, func(m *Manifest, _ [][]byte) { m.Version = math.MaxUint64 }, BadSignature},
		"changed time":                   {good, func(m *Manifest, _ [][]byte) { m.PublishedMillis++ }, BadSignature},
		"another key":                    {good, func(m *Manifest, _ [][]byte) { other.sign(&m.Header, m.TableDigest) }, BadSignature},
		"version 0":                      {good, func(m *Manifest, _ [][]byte) { m.Version = 0 }, Malformed},
		"tampered row, signed header":    {tampered, nil, DigestMismatch},
		"changed segment":                {good, func(_ *Manifest, s [][]byte) { s[0][9]++ }, DigestMismatch},
		"truncated segment":              {good, func(_ *Manifest, s [][]byte) { s[0] = s[0][:9] }, DigestMismatch},
		"missing segment":                {good, func(m *Manifest, _ [][]byte) { m.Segments = append(m.Segments, m.Segments[0]) }, Malformed},
		"signed table that breaks rules": {zeroWeights, nil, InvalidTable},
	} {
		t.Run(name, func(t *testing.T) {
			m, segments, err := test.from.Encode()
			require.NoError(t, err)
			if test.change != nil {
				test.change(&m, segments)
			}
			_, err = Open(m, segments, verifier)
			require.Equal(t, test.want, KindOf(err), "%v", err)
			require.Contains(t, err.Error(), remedies[test.want])
		})
	}
}

// Guards against rejecting headers that are signed with the old or the new key during a key
// rotation, and against key files that cannot be parsed again.
func TestKeys(t *testing.T) {
	a, _ := testKey(t, 1)
	b, _ := testKey(t, 2)
	c, _ := testKey(t, 3)
	publicKey, err := ParsePublicKey(FormatPublicKey(a.PublicKey()))
	require.NoError(t, err)
	both, err := NewVerifier(publicKey, b.PublicKey())
	require.NoError(t, err)
	privateKey, err := FormatPrivateKey(b.key)
	require.NoError(t, err)
	b, err = ParseSigner(privateKey)
	require.NoError(t, err)
	for signer, want := range map[*Signer]Kind{a: "", b: "", c: BadSignature, nil: Unsigned} {
		_, m, segments := build(t, randomTable(1, 2), 1, signer)
		_, err := Open(m, segments, both)
		require.Equal(t, want, KindOf(err))
		_, err = Open(m, segments, nil)
		require.NoError(t, err, "no keys: no signature is required")
	}
	_, err = NewVerifier(a.PublicKey(), b.PublicKey(), c.PublicKey())
	require.Equal(t, BadKey, KindOf(err))
	_, err = ParseSigner([]byte("x"))
	require.Equal(t, BadKey, KindOf(err))
	_, err = ParsePublicKey("AAAA")
	require.Equal(t, BadKey, KindOf(err))
}

// Guards against a small segment that needs more memory than allowed when it is decompressed.
func TestDecompressIsBounded(t *testing.T) {
	bomb, ok := compress(make([]byte, 64<<20))
	require.True(t, ok)
	_, m, _ := build(t, randomTable(1, 2), 1, nil)
	segment := append([]byte{compressed}, bomb...)
	_, err := decompress(bomb, maxRawBytes, m.Version)
	require.Equal(t, TooLarge, KindOf(err))
	require.Less(t, len(segment), MaxSegmentBytes)
}

// Guards against panics on arbitrary manifests and segments, and against accepting invalid ones.
func FuzzOpen(f *testing.F) {
	signer, verifier := testKey(f, 1)
	for _, key := range []*Signer{nil, signer} {
		_, m, segments := build(f, randomTable(1, 3), 2, key)
		data, err := EncodeManifest(m)
		require.NoError(f, err)
		f.Add(data, segments[0])
		f.Add(data[:20], segments[0][:20])
	}
	f.Fuzz(func(t *testing.T, manifest, segment []byte) {
		if _, err := DecodeManifest(manifest); err != nil {
			require.NotEmpty(t, KindOf(err))
		}
		// addSegment does not check the digest of the segment, so that its contents are decoded.
		s := &Snapshot{}
		if len(segment) > 1 && s.addSegment(segment, true) == nil && s.table.Validate() == nil {
			s.digest = tableDigest(s.table.Layout, rowDigests(s.table.Rows))
			s.header = Header{Version: 1}
			m, segments, err := s.Encode()
			require.NoError(t, err)
			_, err = Open(m, segments, nil)
			require.NoError(t, err)
			_, err = Open(m, segments, verifier)
			require.Equal(t, Unsigned, KindOf(err))
		}
	})
}
