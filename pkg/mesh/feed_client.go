package mesh

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// feedTimeout is the time without a frame after which a feed counts as lost. Together with the
	// time to find another reader it stays well below the 2 s within which a change must be in
	// force.
	feedTimeout = 800 * time.Millisecond
	// proofAgeTolerance is the tolerance by which the proof of a reader may be older than
	// maxFreshAge before its feed is dropped.
	proofAgeTolerance = 200 * time.Millisecond
	// takeoverTime is the time that a reader has to become current after it has accepted a feed,
	// since it may have become a reader only just now.
	takeoverTime = 400 * time.Millisecond
	// lostReaderPause is the time for which a reader is not asked again after its feed was lost.
	lostReaderPause = 1500 * time.Millisecond
	// minLostReaderPause replaces lostReaderPause if there is no other daemon to ask. A connection
	// that is refused at once costs some 200 bytes.
	minLostReaderPause = 200 * time.Millisecond
	// maxAsked is the number of readers that a daemon without a current feed asks at the same time,
	// and askInterval the time between two such requests. A response within a data centre takes some
	// 10 ms.
	maxAsked    = 2
	askInterval = 50 * time.Millisecond
	// readerCheckInterval is the interval at which a daemon with a current feed looks for a better
	// reader or for a standby. There is no urgency then.
	readerCheckInterval = 500 * time.Millisecond
)

// feedClient chooses the readers whose feeds this daemon uses, and receives the feeds. It is safe for
// concurrent use.
type feedClient struct {
	region, ownAddr string
	fleet           *Fleet
	// decline is set if this daemon does not read the store for others.
	decline bool
	// dial connects to another daemon.
	dial dialFunc
	// declined holds the daemons known to decline requests for a feed.
	declined *declinedPeers

	// ranked is the ranking of the region in the view rankedView. Sorting it for each frame of a feed
	// would take most of the processor time of an idle daemon in a large region.
	rankingMu  sync.Mutex
	rankedView *catalog.View
	ranked     []string

	mu sync.Mutex
	// lostAt holds the time at which the feed of a reader was lost.
	lostAt map[string]time.Time
	// standbyUntil holds the time until which a reader counts as a standby: it has sent current
	// frames, and need not be asked again while another feed is in use.
	standbyUntil map[string]time.Time
	// attempts holds the readers that have been asked for a feed or send one.
	attempts map[string]attempt
	// current is the address of the reader whose feed is in use, or empty.
	current string
	// suggested is the address of the reader named by the last daemon that declined, or of the daemon
	// that sent the first state, or empty.
	suggested string
	// nextCheckAt is the time from which on the daemon may ask a better reader than the one in use.
	nextCheckAt time.Time
}

// attempt is a feed that has been requested or is being received.
type attempt struct {
	startedAt time.Time
	cancel    context.CancelCauseFunc
}

// dialFunc connects to a daemon. It returns when the context ends or after peerDial at the latest.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialPeer is the dialFunc used outside of tests.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerDial, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", address)
}

func newFeedClient(region, ownAddr string, fleet *Fleet, decline bool, declining *declinedPeers) *feedClient {
	return &feedClient{
		region: region, ownAddr: ownAddr, fleet: fleet, decline: decline, dial: dialPeer, declined: declining,
		lostAt: make(map[string]time.Time), standbyUntil: make(map[string]time.Time), attempts: make(map[string]attempt),
	}
}

// ranking returns the ranking of the region in the current view. It must not be changed.
func (f *feedClient) ranking() []string {
	view := f.fleet.View()
	f.rankingMu.Lock()
	defer f.rankingMu.Unlock()
	if f.rankedView != view {
		f.rankedView, f.ranked = view, view.Ranking(f.region)
	}
	return f.ranked
}

// feeders returns the readers of the region and whether they feed this daemon. If this daemon is a
// reader itself, it returns the other readers and false. Readers whose feeds were lost, and daemons
// that have declined, are skipped: the next daemons in the ranking take their place, and only those
// read the store.
func (f *feedClient) feeders(now time.Time) ([]string, bool) {
	ranking := f.ranking()
	f.mu.Lock()
	defer f.mu.Unlock()
	return catalog.Feeders(ranking, f.ownAddr, func(address string) bool {
		if address == f.ownAddr {
			return f.decline
		}
		return f.excluded(now, address)
	})
}

// excluded reports whether a daemon must not be asked now. The caller holds the mutex.
func (f *feedClient) excluded(now time.Time, address string) bool {
	lostAt, lost := f.lostAt[address]
	return lost && now.Sub(lostAt) < lostReaderPause || f.declined.contains(now, address)
}

// fed reports whether others read the store for this daemon. If all readers were lost recently,
// they may return, or others may take their place: a daemon that does not read for others allows
// time for that.
func (f *feedClient) fed(now time.Time) bool {
	feeders, fed := f.feeders(now)
	return fed || f.decline && len(feeders) == 0 && f.anyLostRecently(now) || f.unlisted() && f.hasSource()
}

// unlisted reports whether the view lists no instance of the region yet, so that no reader is known.
func (f *feedClient) unlisted() bool { return len(f.ranking()) == 0 }

// hasSource reports whether the daemon has a feed, has asked for one or knows whom to ask.
func (f *feedClient) hasSource() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != "" || f.suggested != "" || len(f.attempts) > 0
}

// followSource records the daemon that has sent the first state. It is asked for a feed as long as no
// reader is known.
func (f *feedClient) followSource(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suggested = address
}

// anyLostRecently reports whether a feed has been lost within lostReaderPause.
func (f *feedClient) anyLostRecently(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.lostAt {
		if now.Sub(at) < lostReaderPause {
			return true
		}
	}
	return false
}

// nextReader returns a reader to ask for a feed. It returns false if there is none or enough have been
// asked. stale is set if the last freshness proof is too old for the view to count as current.
func (f *feedClient) nextReader(now time.Time, stale bool) (string, bool) {
	feeders, _ := f.feeders(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	urgent := f.current == "" || stale
	if !urgent && now.Before(f.nextCheckAt) || !f.mayAsk(now, urgent) {
		return "", false
	}
	hasReader, noFeeders := !urgent && slices.Contains(feeders, f.current), len(feeders) == 0
	if urgent && f.suggested != "" {
		feeders = append([]string{f.suggested}, feeders...)
	}
	for _, address := range feeders {
		_, asked := f.attempts[address]
		isStandby := hasReader && now.Before(f.standbyUntil[address])
		if !asked && !isStandby && !f.excluded(now, address) {
			f.nextCheckAt = now.Add(readerCheckInterval)
			return address, true
		}
	}
	if noFeeders && f.current == "" && len(f.attempts) == 0 {
		return f.earliestLost(now)
	}
	return "", false
}

// earliestLost returns the reader whose feed was lost first, of those lost at least
// minLostReaderPause ago. It is used before lostReaderPause has passed if there is no other daemon
// to ask. The caller holds the mutex.
func (f *feedClient) earliestLost(now time.Time) (string, bool) {
	first, since := "", now.Add(-minLostReaderPause)
	for _, address := range f.ranking() {
		if at, lost := f.lostAt[address]; lost && !at.After(since) && address != f.ownAddr && !f.declined.contains(now, address) {
			first, since = address, at
		}
	}
	return first, first != ""
}

// mayAsk reports whether another reader may be asked in addition to those that have not responded
// yet. The caller holds the mutex.
func (f *feedClient) mayAsk(now time.Time, urgent bool) bool {
	asked := 0
	for address, a := range f.attempts {
		if address == f.current {
			continue
		}
		if asked++; !urgent || asked >= maxAsked || now.Sub(a.startedAt) < askInterval {
			return false
		}
	}
	return true
}

// addAttempt records that a reader is asked for a feed.
func (f *feedClient) addAttempt(now time.Time, address string, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[address] = attempt{now, cancel}
}

// useFeed records that a reader sends current frames, and reports whether its feed is the one to
// use. If so, the feeds of all other readers are cancelled. It returns false if the feed in use is
// as good. wasStale is set if the view did not count as current before the frame arrived.
func (f *feedClient) useFeed(now time.Time, address string, wasStale bool) bool {
	feeders, _ := f.feeders(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standbyUntil[address] = now.Add(declineTTL)
	switch {
	case f.current == address:
		return true
	case f.current != "" && !wasStale && slices.Contains(feeders, f.current):
		return false
	}
	f.current, f.suggested = address, ""
	for other, a := range f.attempts {
		if other != address {
			a.cancel(errReplaced)
		}
	}
	return true
}

// suggestReader records the reader named by a daemon that has declined.
func (f *feedClient) suggestReader(reader string) {
	known := reader != f.ownAddr && reader != "" && (f.unlisted() || slices.Contains(f.ranking(), reader))
	f.mu.Lock()
	defer f.mu.Unlock()
	if known {
		f.suggested = reader
	}
}

// currentReader returns the address of the reader whose feed is in use, or an empty string.
func (f *feedClient) currentReader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// The reasons for which a feed ends.
var (
	errNotFresh   = errors.New("the reader is not up to date with the store")
	errNotNeeded  = errors.New("the daemon has another source of changes")
	errBehind     = errors.New("other daemons have a newer revision than the reader")
	errReplaced   = errors.New("the feed of another reader is used instead")
	errFeedStatus = errors.New("the reader rejected the request for a feed")
	errDeclined   = errors.New("the daemon does not read the store for others")
	errFrame      = &exchange.BoundError{Limit: maxFrameBytes, What: "bytes of a frame of a feed", Remedy: "see the log of the reader"}
)

// feedCallbacks holds the callbacks of a feed.
type feedCallbacks struct {
	// accepted is called when the reader has accepted the request.
	accepted func()
	// frameApplied is called for each frame, after it is applied, with the age of the reader's
	// freshness proof. An error that it returns ends the feed.
	frameApplied func(now time.Time, age time.Duration) error
}

// receiveFeed requests the feed of a reader and applies its changes until the feed ends.
func (f *feedClient) receiveFeed(ctx context.Context, address string, events feedCallbacks) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return f.requestFeed(conn, address, events)
}

// requestFeed requests a feed on the connection and applies the changes that it brings.
func (f *feedClient) requestFeed(conn net.Conn, address string, events feedCallbacks) error {
	view := f.fleet.View()
	var version uint64
	if view.Table != nil {
		version = view.Table.Version
	}
	if err := conn.SetDeadline(time.Now().Add(feedTimeout)); err != nil {
		return err
	}
	target := fmt.Sprintf("%s?revision=%d&version=%d", feedPath, f.fleet.Revision(), version)
	if view.TableEra > 0 {
		target += fmt.Sprintf("&%s=%d", tableEraParam, view.TableEra)
	}
	if f.decline {
		target += "&declines=" + f.ownAddr
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, address); err != nil {
		return err
	}
	source := exchange.NewSource(conn)
	source.BoundHead()
	resp, err := http.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		return err
	}
	defer func() {
		_ = conn.Close() // before the body, since closing the body would wait for the next frames
		_ = resp.Body.Close()
	}()
	switch resp.StatusCode {
	case http.StatusOK:
	case statusDeclined:
		f.suggestReader(resp.Header.Get(headerReader))
		return f.readDeclines(source, resp.Body)
	default:
		return errFeedStatus
	}
	events.accepted()
	return f.applyFrames(conn, source, cbor.NewDecoder(resp.Body), address, events)
}

// readDeclines reads the list of declining daemons from the body of a response that declines. It
// always returns errDeclined, joined with the error if the list cannot be read.
func (f *feedClient) readDeclines(source *exchange.Source, body io.Reader) error {
	var known declinedTTLs
	source.Bound(errFrame)
	if err := cbor.NewDecoder(body).Decode(&known); err != nil {
		return fmt.Errorf("%w; its list of other declining daemons cannot be read: %w", errDeclined, err)
	}
	f.declined.merge(time.Now(), known, f.ranking())
	return errDeclined
}

// applyFrames applies the frames of a feed until it ends.
func (f *feedClient) applyFrames(conn net.Conn, source *exchange.Source, decoder *cbor.Decoder, address string, events feedCallbacks) error {
	behind := f.fleet.Behind()
	for {
		if err := conn.SetReadDeadline(time.Now().Add(feedTimeout)); err != nil {
			return err
		}
		source.Bound(errFrame)
		var next frame
		if err := decoder.Decode(&next); err != nil {
			return err
		}
		delta, err := unpack(next.Change)
		if err != nil {
			return err
		}
		state, err := delta.state(f.fleet.View(), next.Revision)
		if err != nil {
			return err
		}
		if delta.Whole {
			f.fleet.Replace(state, address)
		} else {
			f.fleet.Apply(state, address)
		}
		if err := checkFrameEra(f.fleet, time.Now(), next.Revision); err != nil {
			return err
		}
		if len(next.Declines) > 0 {
			f.declined.merge(time.Now(), next.Declines, f.ranking())
		}
		if err := events.frameApplied(time.Now(), time.Duration(next.Age)*time.Millisecond); err != nil {
			return err
		}
		select {
		case <-behind:
			return errBehind
		default:
		}
	}
}

// endAttempt records the end of a feed. The reader is not asked again for some time, unless the feed
// ended for a reason that is not a fault of the reader.
func (f *feedClient) endAttempt(now time.Time, address string, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, address)
	if f.current == address {
		f.current = ""
	}
	if f.suggested == address {
		f.suggested = ""
	}
	var base *route.BaseError
	switch {
	case errors.Is(cause, errNotNeeded), errors.Is(cause, errReplaced), errors.As(cause, &base):
	case errors.Is(cause, errDeclined):
		f.declined.record(now, address, declineTTL)
	default:
		f.lostAt[address] = now
	}
}
