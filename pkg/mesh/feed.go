package mesh

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// feedPath is the path of the stream of changes that readers of the store send to others.
	feedPath = "/mangoshed-peer/feed"
	// beaconTime is the time between two frames of a feed; a frame without news has about 20 bytes.
	beaconTime = 250 * time.Millisecond
	// declinedStatus answers a daemon that asks one which does not read for others. headerReader
	// then names the reader that this one follows, and the body holds the declines that it knows.
	declinedStatus = http.StatusNotImplemented
	headerReader   = refusal.HeaderPrefix + "Reader"
	// feedWrite bounds the write of a frame.
	feedWrite = 2 * time.Second
	// maxFrame bounds a frame in bytes: the view of 19,000 instances is 4 MB before it is compressed.
	maxFrame = 4 << 20
)

// frame is one message of a feed.
type frame struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Age is the time in milliseconds since the store proved that the revision is current. It
	// grows along a chain of readers, so that daemons that feed each other notice.
	Age int64 `cbor:"2,keyasint,omitempty"`
	// Change is a compressed change; empty without news.
	Change []byte `cbor:"3,keyasint,omitempty"`
	// Declines are the daemons that do not read for others, as far as they have not been told.
	Declines declines `cbor:"4,keyasint,omitempty"`
}

// feedServer streams the changes of the view to other daemons.
type feedServer struct {
	fleet  *Fleet
	packer packer
	// age returns the age of the last proof that the view is current.
	age func() time.Duration
	// decline says that the daemon does not read for others; reader then names the one that
	// it follows itself, if any.
	decline bool
	reader  func() string
	// declines are the daemons known to decline.
	declines *decliners
	// stopped is closed when the daemon begins to stop.
	stopped <-chan struct{}
}

// ServeHTTP streams until the other daemon leaves or this one stops.
func (s *feedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	revision, err1 := strconv.ParseUint(query.Get("revision"), 10, 64)
	version, err2 := strconv.ParseUint(query.Get("version"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "name the revision and the version that are held", http.StatusBadRequest)
		return
	}
	asker := query.Get("declines")
	if s.decline {
		s.noteAsker(asker)
		s.refuse(w)
		return
	}
	sent, reached, changed := s.fleet.Follow()
	first := initialChange(sent, reached, revision, version)
	data, err := first.pack()
	if err != nil {
		http.Error(w, "the state cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	control := http.NewResponseController(w)
	encoder := cbor.NewEncoder(w)
	ticker := time.NewTicker(beaconTime)
	defer ticker.Stop()
	var told uint64
	for {
		s.noteAsker(asker)
		next := frame{Revision: reached, Age: s.age().Milliseconds(), Change: data}
		next.Declines, told = s.declines.since(time.Now(), told)
		if control.SetWriteDeadline(time.Now().Add(feedWrite)) != nil || encoder.Encode(next) != nil || control.Flush() != nil {
			return // the other daemon has left, or reads no more
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-s.stopped:
			return
		case <-r.Context().Done():
			return
		}
		var current *catalog.View
		current, reached, changed = s.fleet.Follow()
		if data, err = s.packer.pack(sent, current); err != nil {
			return // the other daemon asks again and gets the whole state
		}
		sent = current
	}
}

// noteAsker takes that a daemon which asks declines itself; the address is empty if it does not.
func (s *feedServer) noteAsker(address string) {
	if address != "" {
		s.declines.note(time.Now(), address, declinedRest)
	}
}

// refuse answers that the daemon does not read for others.
func (s *feedServer) refuse(w http.ResponseWriter) {
	known, _ := s.declines.since(time.Now(), 0)
	w.Header().Set(headerReader, s.reader())
	w.WriteHeader(declinedStatus)
	_ = cbor.NewEncoder(w).Encode(known) // the other daemon has left if this fails
}

// isPeerCall reports whether a path belongs to the calls between daemons.
func isPeerCall(path string) bool { return strings.HasPrefix(path, "/mangoshed-peer/") }
