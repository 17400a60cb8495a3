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

	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// feedSilence is the time without a frame after which a feed counts as lost. Together with the
	// time to find another reader it stays well below the 2 s within which a change must be in
	// force.
	feedSilence = 800 * time.Millisecond
	// feedGrace is the tolerance by which the proof of a reader may be older than freshTime before
	// its feed is dropped.
	feedGrace = 200 * time.Millisecond
	// takeOverTime is the time that a reader has to become current after it has accepted a feed,
	// since it may have become a reader only just now.
	takeOverTime = 400 * time.Millisecond
	// feederRest is the time for which a reader is not asked again after its feed was lost.
	feederRest = 1500 * time.Millisecond
	// againTime replaces feederRest if there is no other daemon to ask. A connection that is
	// refused at once costs some 200 bytes.
	againTime = 200 * time.Millisecond
	// maxAsked is the number of readers that a daemon without a current feed asks at the same time,
	// and askedApart the time between two such requests. A response within a data centre takes some
	// 10 ms.
	maxAsked   = 2
	askedApart = 50 * time.Millisecond
	// lookPause is the interval at which a daemon with a current feed looks for a better reader or
	// for a standby. There is no urgency then.
	lookPause = 500 * time.Millisecond
)

// feeds chooses the readers whose feeds this daemon uses, and receives the feeds. It is safe for
// concurrent use.
type feeds struct {
	region, own string
	fleet       *Fleet
	// decline is set if this daemon does not read the store for others.
	decline bool
	// dial connects to another daemon.
	dial dialFunc
	// declines holds the daemons known to decline requests for a feed.
	declines *decliners

	mu   sync.Mutex
	// lost holds the time at which the feed of a reader was lost.
	lost map[string]time.Time
	// seen holds the time until which a reader counts as a standby: it has sent current frames, and
	// need not be asked again while another feed is in use.
	seen map[string]time.Time
	// attempts holds the readers that have been asked for a feed or send one.
	attempts map[string]attempt
	// following is the address of the reader whose feed is in use, or empty.
	following string
	// hint is the address of the reader named by the last daemon that declined, or empty.
	hint string
	// lookAt is the time from which on the daemon may ask a better reader than the current one.
	lookAt time.Time
}

// attempt is a feed that has been requested or is being received.
type attempt struct {
	since  time.Time
	cancel context.CancelCauseFunc
}

// dialFunc connects to a daemon. It returns when the context ends or after peerDial at the latest.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialPeer is the dialFunc used outside of tests.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerDial, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", address)
}

func newFeeds(region, own string, fleet *Fleet, decline bool, known *decliners) *feeds {
	return &feeds{
		region: region, own: own, fleet: fleet, decline: decline, dial: dialPeer, declines: known,
		lost: make(map[string]time.Time), seen: make(map[string]time.Time), attempts: make(map[string]attempt),
	}
}

// feeders returns the readers of the region and whether they feed this daemon. If this daemon is a
// reader itself, it returns the other readers and false. Readers whose feeds were lost, and daemons
// that have declined, are skipped: the next daemons in the ranking take their place, and only those
// read the store.
func (f *feeds) feeders(now time.Time) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.View().Feeders(f.region, f.own, func(address string) bool {
		if address == f.own {
			return f.decline
		}
		return f.passedOver(now, address)
	})
}

// passedOver reports whether a daemon must not be asked now. The caller holds the mutex.
func (f *feeds) passedOver(now time.Time, address string) bool {
	at, lost := f.lost[address]
	return lost && now.Sub(at) < feederRest || f.declines.has(now, address)
}

// fed reports whether others read the store for this daemon. If all readers were lost recently,
// they may return, or others may take their place: a daemon that does not read for others allows
// time for that.
func (f *feeds) fed(now time.Time) bool {
	feeders, fed := f.feeders(now)
	return fed || f.decline && len(feeders) == 0 && f.anyLost(now)
}

// anyLost reports whether a feed has been lost within feederRest.
func (f *feeds) anyLost(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.lost {
		if now.Sub(at) < feederRest {
			return true
		}
	}
	return false
}

// next returns a reader to ask for a feed. It returns false if there is none or enough have been
// asked. old is set if the last freshness proof is too old for the view to count as current.
func (f *feeds) next(now time.Time, old bool) (string, bool) {
	feeders, _ := f.feeders(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	search := f.following == "" || old
	if !search && now.Before(f.lookAt) || !f.mayAsk(now, search) {
		return "", false
	}
	spare, none := !search && slices.Contains(feeders, f.following), len(feeders) == 0
	if search && f.hint != "" {
		feeders = append([]string{f.hint}, feeders...)
	}
	for _, address := range feeders {
		_, asked := f.attempts[address]
		known := spare && now.Before(f.seen[address])
		if !asked && !known && !f.passedOver(now, address) {
			f.lookAt = now.Add(lookPause)
			return address, true
		}
	}
	if none && f.following == "" && len(f.attempts) == 0 {
		return f.lostFirst(now)
	}
	return "", false
}

// lostFirst returns the reader whose feed was lost first, of those lost at least againTime ago. It
// is used before feederRest has passed if there is no other daemon to ask. The caller holds the
// mutex.
func (f *feeds) lostFirst(now time.Time) (string, bool) {
	first, since := "", now.Add(-againTime)
	for _, address := range f.fleet.View().Ranking(f.region) {
		if at, lost := f.lost[address]; lost && !at.After(since) && address != f.own && !f.declines.has(now, address) {
			first, since = address, at
		}
	}
	return first, first != ""
}

// mayAsk reports whether another reader may be asked in addition to those that have not responded
// yet. The caller holds the mutex.
func (f *feeds) mayAsk(now time.Time, search bool) bool {
	asked := 0
	for address, a := range f.attempts {
		if address == f.following {
			continue
		}
		if asked++; !search || asked >= maxAsked || now.Sub(a.since) < askedApart {
			return false
		}
	}
	return true
}

// begin records that a reader is asked for a feed.
func (f *feeds) begin(now time.Time, address string, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[address] = attempt{now, cancel}
}

// chosen records that a reader sends current frames, and reports whether its feed is the one to
// use. If so, the feeds of all other readers are cancelled. It returns false if the feed in use is
// as good. old is set if the view did not count as current before the frame arrived.
func (f *feeds) chosen(now time.Time, address string, old bool) bool {
	feeders, _ := f.feeders(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[address] = now.Add(declinedRest)
	switch {
	case f.following == address:
		return true
	case f.following != "" && !old && slices.Contains(feeders, f.following):
		return false
	}
	f.following, f.hint = address, ""
	for other, a := range f.attempts {
		if other != address {
			a.cancel(errReplaced)
		}
	}
	return true
}

// suggest records the reader named by a daemon that has declined.
func (f *feeds) suggest(reader string) {
	known := reader != f.own && slices.Contains(f.fleet.View().Ranking(f.region), reader)
	f.mu.Lock()
	defer f.mu.Unlock()
	if known {
		f.hint = reader
	}
}

// reader returns the address of the reader whose feed is in use, or an empty string.
func (f *feeds) reader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following
}

// The reasons for which a feed ends.
var (
	errNotFresh   = errors.New("the reader is not up to date with the store")
	errNotNeeded  = errors.New("the daemon has another source of changes")
	errBehind     = errors.New("other daemons have a newer revision than the reader")
	errReplaced   = errors.New("the feed of another reader is used instead")
	errFeedStatus = errors.New("the reader rejected the request for a feed")
	errDeclined   = errors.New("the daemon does not read the store for others")
	errFrame      = &exchange.BoundError{Limit: maxFrame, What: "bytes of a frame of a feed", Remedy: "see the log of the reader"}
)

// feedEvents holds the callbacks of a feed.
type feedEvents struct {
	// accepted is called when the reader has accepted the request.
	accepted func()
	// proved is called for each frame, after it is applied, with the age of the reader's freshness
	// proof. An error that it returns ends the feed.
	proved func(now time.Time, age time.Duration) error
}

// follow requests the feed of a reader and applies its changes until the feed ends.
func (f *feeds) follow(ctx context.Context, address string, events feedEvents) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return f.listen(conn, address, events)
}

// listen requests a feed on the connection and applies the changes that it brings.
func (f *feeds) listen(conn net.Conn, address string, events feedEvents) error {
	view := f.fleet.View()
	var version uint64
	if view.Table != nil {
		version = view.Table.Version
	}
	if err := conn.SetDeadline(time.Now().Add(feedSilence)); err != nil {
		return err
	}
	target := fmt.Sprintf("%s?revision=%d&version=%d", feedPath, f.fleet.Revision(), version)
	if f.decline {
		target += "&declines=" + f.own
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
	case declinedStatus:
		f.suggest(resp.Header.Get(headerReader))
		return f.takeDeclines(source, resp.Body)
	default:
		return errFeedStatus
	}
	events.accepted()
	return f.receive(conn, source, cbor.NewDecoder(resp.Body), address, events)
}

// takeDeclines reads the list of declining daemons from the body of a response that declines. It
// always returns errDeclined, joined with the error if the list cannot be read.
func (f *feeds) takeDeclines(source *exchange.Source, body io.Reader) error {
	var known declines
	source.Bound(errFrame)
	if err := cbor.NewDecoder(body).Decode(&known); err != nil {
		return fmt.Errorf("%w; its list of other daemons that do not cannot be read: %w", errDeclined, err)
	}
	f.declines.hear(time.Now(), known, f.fleet.View().Ranking(f.region))
	return errDeclined
}

// receive applies the frames of a feed until it ends.
func (f *feeds) receive(conn net.Conn, source *exchange.Source, decoder *cbor.Decoder, address string, events feedEvents) error {
	behind := f.fleet.Behind()
	for {
		if err := conn.SetReadDeadline(time.Now().Add(feedSilence)); err != nil {
			return err
		}
		source.Bound(errFrame)
		var next frame
		if err := decoder.Decode(&next); err != nil {
			return err
		}
		news, err := unpack(next.Change)
		if err != nil {
			return err
		}
		state, err := news.state(f.fleet.View(), next.Revision)
		if err != nil {
			return err
		}
		if news.Whole {
			f.fleet.Replace(state, address)
		} else {
			f.fleet.Apply(state, address)
		}
		if len(next.Declines) > 0 {
			f.declines.hear(time.Now(), next.Declines, f.fleet.View().Ranking(f.region))
		}
		if err := events.proved(time.Now(), time.Duration(next.Age)*time.Millisecond); err != nil {
			return err
		}
		select {
		case <-behind:
			return errBehind
		default:
		}
	}
}

// lose records the end of a feed. The reader is not asked again for some time, unless the feed
// ended for a reason that is not a fault of the reader.
func (f *feeds) lose(now time.Time, address string, why error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, address)
	if f.following == address {
		f.following = ""
	}
	if f.hint == address {
		f.hint = ""
	}
	var base *route.BaseError
	switch {
	case errors.Is(why, errNotNeeded), errors.Is(why, errReplaced), errors.As(why, &base):
	case errors.Is(why, errDeclined):
		f.declines.note(now, address, declinedRest)
	default:
		f.lost[address] = now
	}
}
