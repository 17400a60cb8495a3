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
	// feedSilence is the time without a frame after which a reader counts as lost. With the
	// change to another one it stays well below the 2 s in which a change has to be in force.
	feedSilence = 800 * time.Millisecond
	// feedGrace is the time by which a reader may exceed the age of a current view before it is left.
	feedGrace = 200 * time.Millisecond
	// takeOverTime is the time that a reader gets to become current after it has been chosen:
	// it may have taken over just now.
	takeOverTime = 400 * time.Millisecond
	// feederRest is the time for which a reader that was lost is not asked again.
	feederRest = 1500 * time.Millisecond
	// againTime is the time after which a lost reader is asked again if no other daemon is left to
	// ask. A connection that is refused at once costs some 200 bytes.
	againTime = 200 * time.Millisecond
	// maxAsked is the number of readers that a daemon without a current feed asks at the same
	// time, and askedApart the time between the first question and the next: an answer within a
	// data centre takes some 10 ms.
	maxAsked   = 2
	askedApart = 50 * time.Millisecond
	// lookPause is the time between two looks for a better reader, or for one to turn to if the
	// one that is followed is lost, while its frames are current; nothing is urgent then.
	lookPause = 500 * time.Millisecond
)

// feeds chooses the readers that feed this daemon. It is safe for concurrent use.
type feeds struct {
	region, own string
	fleet       *Fleet
	// decline says that the daemon itself does not read for others.
	decline bool
	// dial connects to another daemon.
	dial dialFunc
	// declines are the daemons known to decline.
	declines *decliners

	mu   sync.Mutex
	lost map[string]time.Time
	// seen holds until when a reader beside the one that is followed is known to feed others.
	seen map[string]time.Time
	// attempts are the readers that are followed or asked.
	attempts map[string]attempt
	// following is the reader that is followed, empty without one.
	following string
	// hint is the reader that the last decliner follows, empty without one.
	hint string
	// lookAt is the time from which on a better reader than the one followed may be asked.
	lookAt time.Time
}

// attempt is a reader that is followed or asked.
type attempt struct {
	since  time.Time
	cancel context.CancelCauseFunc
}

// dialFunc connects to a daemon; it ends with the context or with peerDial.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialPeer is the dialFunc of daemons.
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

// feeders returns the readers that feed this daemon; false if it is one of them. The list then
// names the others. Those that were lost or have declined are passed over: the next ones in the
// order take over, and only they read the store.
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

// passedOver reports whether a daemon is not asked. The caller holds the mutex.
func (f *feeds) passedOver(now time.Time, address string) bool {
	at, lost := f.lost[address]
	return lost && now.Sub(at) < feederRest || f.declines.has(now, address)
}

// fed reports whether others read for this daemon. Those that were lost just now may come back, or
// others take over: a daemon that does not read for others leaves them the time for that.
func (f *feeds) fed(now time.Time) bool {
	feeders, fed := f.feeders(now)
	return fed || f.decline && len(feeders) == 0 && f.anyLost(now)
}

// anyLost reports whether a reader has been lost just now.
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

// next returns a reader to ask, false if there is none or enough are asked. old says that the
// proof of the view is old.
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

// lostFirst returns the reader that was lost first of those that may be asked again although
// feederRest has not passed, since no other daemon is left. The caller holds the mutex.
func (f *feeds) lostFirst(now time.Time) (string, bool) {
	first, since := "", now.Add(-againTime)
	for _, address := range f.fleet.View().Ranking(f.region) {
		if at, lost := f.lost[address]; lost && !at.After(since) && address != f.own && !f.declines.has(now, address) {
			first, since = address, at
		}
	}
	return first, first != ""
}

// mayAsk reports whether another reader may be asked beside those that have not answered yet. The
// caller holds the mutex.
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

// begin notes that a reader is asked.
func (f *feeds) begin(now time.Time, address string, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[address] = attempt{now, cancel}
}

// chosen takes a reader whose frames are current. It ends the feeds of all others, unless the one
// that is followed is as good; false says that it is. old says that the proof of the view was old.
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

// suggest takes the reader that a daemon follows which has declined.
func (f *feeds) suggest(reader string) {
	known := reader != f.own && slices.Contains(f.fleet.View().Ranking(f.region), reader)
	f.mu.Lock()
	defer f.mu.Unlock()
	if known {
		f.hint = reader
	}
}

// reader returns the address of the reader that is followed, empty without one.
func (f *feeds) reader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following
}

// errFeed are the reasons to leave a reader.
var (
	errNotFresh   = errors.New("the reader does not follow the store")
	errNotNeeded  = errors.New("the daemon has another way to the store")
	errBehind     = errors.New("other daemons know more than the reader")
	errReplaced   = errors.New("another reader is followed")
	errFeedStatus = errors.New("the reader refused the feed")
	errDeclined   = errors.New("the daemon does not read for others")
	errFrame      = &exchange.BoundError{Limit: maxFrame, What: "bytes of a frame of a feed", Remedy: "see the log of the reader"}
)

// feedEvents are what the follower learns from a feed.
type feedEvents struct {
	// accepted is called when the reader has accepted.
	accepted func()
	// proved is called with the age of the reader's proof; its error ends the feed.
	proved func(now time.Time, age time.Duration) error
}

// follow takes the changes that a reader sends until it is lost or has left its role.
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

// listen asks a reader for its changes and takes them from the connection.
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
		_ = conn.Close() // before the body, whose Close would wait for the next frames
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

// takeDeclines takes the decliners that one of them knows. It returns errDeclined, whatever the
// list is worth.
func (f *feeds) takeDeclines(source *exchange.Source, body io.Reader) error {
	var known declines
	source.Bound(errFrame)
	if err := cbor.NewDecoder(body).Decode(&known); err != nil {
		return fmt.Errorf("%w; its list of others that do not cannot be read: %w", errDeclined, err)
	}
	f.declines.hear(time.Now(), known, f.fleet.View().Ranking(f.region))
	return errDeclined
}

// receive applies the frames of a feed.
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

// lose takes the end of a feed. The reader is left out for a time, unless it was not at fault.
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
