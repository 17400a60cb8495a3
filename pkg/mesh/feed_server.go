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
	// feedPath is the path at which a reader of the store streams changes to other daemons.
	feedPath = "/mangoshed-peer/feed"
	// frameInterval is the interval of a feed's frames if there are no changes. A frame without a
	// change has about 20 bytes.
	frameInterval = 250 * time.Millisecond
	// statusDeclined is the status of the response to a request for a feed if the daemon does not
	// read the store for others. headerReader then names the reader whose feed this daemon uses,
	// and the body lists the daemons known to decline.
	statusDeclined = http.StatusNotImplemented
	headerReader   = refusal.HeaderPrefix + "Reader"
	// frameWriteTimeout bounds the time for writing a frame.
	frameWriteTimeout = 2 * time.Second
	// maxFrameBytes bounds the size of a frame in bytes. The view of 19,000 instances has 4 MB
	// uncompressed.
	maxFrameBytes = 4 << 20
)

// frame is one message of a feed.
type frame struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Age is the time in milliseconds since the revision was last proved to be the latest of the
	// store. It grows along a chain of readers, so that daemons that feed each other in a cycle
	// notice that the store is missing from it.
	Age int64 `cbor:"2,keyasint,omitempty"`
	// Change is a compressed change, empty if nothing has changed.
	Change []byte `cbor:"3,keyasint,omitempty"`
	// Declines lists the daemons that do not read the store for others, as far as this feed has not
	// sent them yet.
	Declines declinedTTLs `cbor:"4,keyasint,omitempty"`
}

// feedServer streams the changes of the view to other daemons.
type feedServer struct {
	fleet  *Fleet
	packer packer
	// age returns the age of the last proof that the view is current.
	age func() time.Duration
	// decline is set if this daemon does not read the store for others. reader then returns the
	// address of the reader whose feed it uses, or an empty string.
	decline bool
	reader  func() string
	// declined holds the daemons known to decline requests for a feed.
	declined *declinedPeers
	// stopped is closed when the daemon begins to shut down.
	stopped <-chan struct{}
}

// ServeHTTP streams frames until the other daemon disconnects or this one shuts down.
func (s *feedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	revision, err1 := strconv.ParseUint(query.Get("revision"), 10, 64)
	version, err2 := strconv.ParseUint(query.Get("version"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "the query must name the revision and the table version that the daemon holds", http.StatusBadRequest)
		return
	}
	decliningAddr := query.Get("declines")
	if s.decline {
		s.recordRequester(decliningAddr)
		s.sendDecline(w)
		return
	}
	sent, latest, changed := s.fleet.Follow()
	first := initialChange(sent, latest, revision, version)
	first.addRewrittenTable(sent, version, parseEra(query.Get(tableEraParam)))
	data, err := first.pack()
	if err != nil {
		http.Error(w, "the state cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	control := http.NewResponseController(w)
	encoder := cbor.NewEncoder(w)
	ticker := time.NewTicker(frameInterval)
	defer ticker.Stop()
	var sentSeq uint64
	for {
		s.recordRequester(decliningAddr)
		next := frame{Revision: latest, Age: s.age().Milliseconds(), Change: data}
		next.Declines, sentSeq = s.declined.changedSince(time.Now(), sentSeq)
		if control.SetWriteDeadline(time.Now().Add(frameWriteTimeout)) != nil || encoder.Encode(next) != nil || control.Flush() != nil {
			return // the other daemon has disconnected or stopped reading
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
		current, latest, changed = s.fleet.Follow()
		if data, err = s.packer.pack(sent, current); err != nil {
			return // the other daemon will ask again and get the full state
		}
		sent = current
	}
}

// recordRequester records that the requesting daemon itself declines to read for others. The address is
// empty if it does not decline.
func (s *feedServer) recordRequester(address string) {
	if address != "" {
		s.declined.record(time.Now(), address, declineTTL)
	}
}

// sendDecline responds that this daemon does not read the store for others.
func (s *feedServer) sendDecline(w http.ResponseWriter) {
	known, _ := s.declined.changedSince(time.Now(), 0)
	w.Header().Set(headerReader, s.reader())
	w.WriteHeader(statusDeclined)
	_ = cbor.NewEncoder(w).Encode(known) // fails only if the other daemon has disconnected
}

// isPeerCall reports whether a path is served for other daemons only.
func isPeerCall(path string) bool { return strings.HasPrefix(path, "/mangoshed-peer/") }
