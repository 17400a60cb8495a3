package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

func messages() []any {
	m := mark{Version: 70000, Prefix: model.DigestPrefix{1, 2}}
	return []any{
		subscribe{Mode: modeEager, Held: m, Revision: 7},
		delta{1, 2, 3},
		advert{Held: m},
		pull{Held: m},
		full{Part: 0, Parts: 2, Manifest: []byte{1}, Data: []byte{2}},
		beacon{Held: m, Heartbeat: 99, Revision: 7, Members: 1 << 60},
		query{},
		members{From: 1, To: 2, Upserts: []listed{{ID: "a", Service: "shifts"}}, Removed: []model.InstanceID{"b"}, Announcements: []announcement{{ID: "c", Incarnation: 3, State: model.Leaving}}},
		membersPull{Revision: 1, Buckets: make([]uint64, membership.Buckets)},
		membersFull{Revision: 1, Part: 0, Parts: 1, Data: encodeBuckets(nil)},
		flood{Origin: "a", ID: 5, Topic: "quarantine", Data: []byte{1}},
	}
}

// Guards the protocol: every message survives the wire, and the envelope of a delta is
// one byte.
func TestMessagesSurviveTheWire(t *testing.T) {
	for _, m := range messages() {
		frame := encode(m)
		got, err := decode(frame)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	require.Len(t, encode(delta(make([]byte, 40))), 41)
}

// Guards the bounds: oversized, truncated and unknown frames are refused.
func TestMalformedFramesAreRefused(t *testing.T) {
	for _, frame := range [][]byte{
		nil,
		{1},
		{200, 0x80},
		make([]byte, MaxFrame+1),
		{byte(kindAdvert), 0x81},
		{byte(kindFull), 0x84, 5, 2, 0x40, 0x40},
		encode(subscribe{Mode: modeEnd}), encode(members{From: 2, To: 1}), encode(membersPull{Buckets: make([]uint64, 3)}),
		encode(flood{Origin: "a", Topic: "t", Data: make([]byte, MaxPublish+1)}), encode(members{Announcements: []announcement{{ID: "a", State: 7}}}),
		append(encode(query{}), 0),
	} {
		_, err := decode(frame)
		var malformed *FrameError
		require.ErrorAs(t, err, &malformed, "%x", frame)
	}
	_, err := decodeBuckets([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	require.Error(t, err, "a declared size of 4 GB")
}

// FuzzFrame guards a daemon against arbitrary frames of a peer: no panic, and nothing
// unsigned or older takes effect.
func FuzzFrame(f *testing.F) {
	for _, m := range messages() {
		f.Add(encode(m))
	}
	v1, m1, segments := build(f, 1, 0, nil)
	v2, _, _ := build(f, 2, 0, nil)
	d, err := snapshot.MakeDelta(v1, v2)
	require.NoError(f, err)
	f.Add(encode(delta(d)))
	encoded, err := snapshot.EncodeManifest(m1)
	require.NoError(f, err)
	f.Add(encode(full{Parts: 1, Manifest: encoded, Data: segments[0]}))
	f.Fuzz(func(t *testing.T, frame []byte) {
		now := time.Unix(1e9, 0)
		self, peer := model.Instance{ID: "self"}, model.Instance{ID: "peer"}
		c := New(Config{Self: self})
		c.Handle(now, StoreList{Revision: 1, Instances: []model.Instance{self, peer}})
		c.Handle(now, LinkUp{Peer: peer.ID})
		c.Handle(now, StoreManifest{Data: encoded})
		c.Handle(now, StoreSegments{Manifest: m1, Segments: segments})
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			for _, action := range c.Handle(now, Frame{Peer: peer.ID, Data: frame}) {
				if a, ok := action.(Apply); ok {
					require.Greater(t, a.Snapshot.Version(), a.Previous.Version())
				}
			}
		}
	})
}
