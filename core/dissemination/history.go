package dissemination

import (
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

const (
	// historySize bounds the versions from which a delta can be made.
	historySize = 32
	// compareFrom is the size of a delta in bytes from which it is compared with the
	// complete version; smaller ones are sent without encoding that.
	compareFrom = 4 << 10
)

func markOf(s *snapshot.Snapshot) mark {
	if s == nil {
		return mark{}
	}
	return mark{Version: s.Version(), Prefix: s.Digest().Prefix()}
}

// history holds the last versions, the current one last, and the frames that lead to
// the current one. The snapshots share unchanged rows.
type history struct {
	snapshots []*snapshot.Snapshot
	frames    map[mark][][]byte // by the receiver's version
	complete  [][]byte
}

// held returns the current version or nil.
func (h *history) held() *snapshot.Snapshot {
	if len(h.snapshots) == 0 {
		return nil
	}
	return h.snapshots[len(h.snapshots)-1]
}

func (h *history) push(s *snapshot.Snapshot) {
	if len(h.snapshots) == historySize {
		h.snapshots = append(h.snapshots[:0], h.snapshots[1:]...)
	}
	h.snapshots = append(h.snapshots, s)
	h.frames, h.complete = map[mark][][]byte{}, nil
}

func (h *history) find(m mark) *snapshot.Snapshot {
	for _, s := range h.snapshots {
		if markOf(s) == m {
			return s
		}
	}
	return nil
}

// framesFrom returns the frames that lead a receiver from its version to the current
// one: a delta, or the complete version when that is smaller or the base is unknown.
func (h *history) framesFrom(base mark) [][]byte {
	from := h.find(base)
	if from == nil || from == h.held() {
		return h.completeFrames()
	}
	if frames, ok := h.frames[base]; ok {
		return frames
	}
	frames := h.completeFramesUnless(snapshot.MakeDelta(from, h.held()))
	h.frames[base] = frames
	return frames
}

func (h *history) completeFramesUnless(d []byte, err error) [][]byte {
	if err != nil {
		return h.completeFrames()
	}
	if len(d) >= compareFrom {
		if complete := h.completeFrames(); complete != nil && totalSize(complete) <= len(d) {
			return complete
		}
	}
	return [][]byte{encode(delta(d))}
}

func totalSize(frames [][]byte) int {
	size := 0
	for _, f := range frames {
		size += len(f)
	}
	return size
}

// segmentsOf returns the segments of a manifest that the current version shares.
func (h *history) segmentsOf(m snapshot.Manifest) map[model.Digest][]byte {
	if h.held() == nil {
		return nil
	}
	held, segments, err := h.held().Encode()
	if err != nil {
		return nil
	}
	wanted := make(map[model.Digest]bool, len(m.Segments))
	for _, ref := range m.Segments {
		wanted[ref.Digest] = true
	}
	shared := make(map[model.Digest][]byte)
	for i, ref := range held.Segments {
		if wanted[ref.Digest] {
			shared[ref.Digest] = segments[i]
		}
	}
	return shared
}

// completeFrames returns the current version in parts. It returns nil for a table that
// exceeds the bounds of segments, which no accepted version does.
func (h *history) completeFrames() [][]byte {
	if h.complete != nil {
		return h.complete
	}
	manifest, segments, err := h.held().Encode()
	if err != nil {
		return nil
	}
	encoded, err := snapshot.EncodeManifest(manifest)
	if err != nil {
		return nil
	}
	var data []byte
	for _, segment := range segments {
		data = append(data, segment...)
	}
	parts := split(data)
	for i, part := range parts {
		message := full{Part: uint16(i), Parts: uint16(len(parts)), Data: part}
		if i == 0 {
			message.Manifest = encoded
		}
		h.complete = append(h.complete, encode(message))
	}
	return h.complete
}

// split cuts data into parts of at most maxPart bytes; at least one.
func split(data []byte) [][]byte {
	parts := [][]byte{data[:min(len(data), maxPart)]}
	for data = data[len(parts[0]):]; len(data) > 0; data = data[len(parts[len(parts)-1]):] {
		parts = append(parts, data[:min(len(data), maxPart)])
	}
	return parts
}

// assembly collects the parts of a large message. Parts arrive in order on a link.
type assembly struct {
	next, parts uint16
	data        []byte
}

// add appends a part and reports whether the message is complete, or false for ok when
// the part does not follow the one before or the message exceeds the limit.
func (a *assembly) add(part, parts uint16, data []byte, limit int) (complete, ok bool) {
	if part != a.next || part > 0 && parts != a.parts || len(a.data)+len(data) > limit {
		return false, false
	}
	a.next, a.parts = part+1, parts
	a.data = append(a.data, data...)
	return a.next == a.parts, true
}

// cut splits data into the segments that a manifest names.
func cut(data []byte, m snapshot.Manifest) ([][]byte, bool) {
	segments := make([][]byte, len(m.Segments))
	for i, ref := range m.Segments {
		if int(ref.Size) > len(data) {
			return nil, false
		}
		segments[i], data = data[:ref.Size], data[ref.Size:]
	}
	return segments, len(data) == 0
}

// digestOf returns a digest of which only the prefix is known.
func digestOf(p model.DigestPrefix) model.Digest {
	var d model.Digest
	copy(d[:], p[:])
	return d
}
