package mesh

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

const (
	// feedPath is the path of the stream of changes that readers of the store send to others.
	feedPath = "/mangoshed-peer/feed"
	// beaconTime is the time between two frames of a feed; a frame without news has about 20 bytes.
	beaconTime = 250 * time.Millisecond
	// feedSilence is the time without a frame after which a reader counts as lost. With the
	// change to another one it stays well below the 2 s in which a change has to be in force.
	feedSilence = 800 * time.Millisecond
	// feedGrace is the time that a reader has until its first fresh frame.
	feedGrace = 400 * time.Millisecond
	// feederRest is the time for which a reader that was lost is not asked again.
	feederRest = 1500 * time.Millisecond
	// feedWrite bounds the write of a frame.
	feedWrite = 2 * time.Second
)

// frame is one message of a feed.
type frame struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Fresh says that the sender follows the store itself and without failures.
	Fresh bool `cbor:"2,keyasint,omitempty"`
	// Whole says that Put lists all instances.
	Whole bool               `cbor:"3,keyasint,omitempty"`
	Table *peerTable         `cbor:"4,keyasint,omitempty"`
	Delta *route.Delta       `cbor:"5,keyasint,omitempty"`
	Put   []catalog.Instance `cbor:"6,keyasint,omitempty"`
	Gone  []model.InstanceID `cbor:"7,keyasint,omitempty"`
}

// state returns the change that a frame brings to a view.
func (f *frame) state(held *catalog.View) (catalog.State, error) {
	s := catalog.State{Revision: f.Revision}
	var err error
	switch {
	case f.Table != nil:
		s.Table, err = route.New(f.Table.Version, f.Table.Routes, f.Table.Services, f.Table.Limits)
	case f.Delta != nil && held.Table == nil:
		err = &route.BaseError{Want: f.Delta.From}
	case f.Delta != nil && f.Delta.To > held.Table.Version:
		s.Table, err = held.Table.Apply(*f.Delta)
	}
	for i := range f.Put {
		s.Entries = append(s.Entries, catalog.Entry{ID: f.Put[i].ID, Instance: &f.Put[i], Revision: f.Revision})
	}
	for _, id := range f.Gone {
		s.Entries = append(s.Entries, catalog.Entry{ID: id, Revision: f.Revision})
	}
	return s, err
}

// nextFrame returns the frame that leads from what was sent to the present view.
func nextFrame(sent, current *catalog.View, revision uint64, fresh bool) frame {
	f := frame{Revision: revision, Fresh: fresh}
	if current == sent {
		return f
	}
	if current.Table != sent.Table && current.Table != nil {
		if sent.Table == nil {
			f.Table = encodeTable(current.Table)
		} else {
			delta := route.Diff(sent.Table, current.Table)
			f.Delta = &delta
		}
	}
	for i := range current.Instances {
		inst := &current.Instances[i]
		if was, ok := sent.ByID(inst.ID); !ok || *was != *inst {
			f.Put = append(f.Put, *inst)
		}
	}
	for i := range sent.Instances {
		if _, ok := current.ByID(sent.Instances[i].ID); !ok {
			f.Gone = append(f.Gone, sent.Instances[i].ID)
		}
	}
	return f
}

// firstFrame returns the frame for a daemon that holds a revision and a version.
func firstFrame(current *catalog.View, revision, heldRevision, heldVersion uint64, fresh bool) frame {
	f := frame{Revision: revision, Fresh: fresh}
	if current.Table != nil && current.Table.Version > heldVersion {
		f.Table = encodeTable(current.Table)
	}
	if revision > heldRevision {
		f.Whole, f.Put = true, current.Instances
	}
	return f
}

// serveFeed streams the changes of the view until the other daemon leaves or this one stops.
func serveFeed(fleet *Fleet, fresh func() bool, stopped <-chan struct{}, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	revision, err1 := strconv.ParseUint(query.Get("revision"), 10, 64)
	version, err2 := strconv.ParseUint(query.Get("version"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "name the revision and the version that are held", http.StatusBadRequest)
		return
	}
	control := http.NewResponseController(w)
	encoder := cbor.NewEncoder(w)
	ticker := time.NewTicker(beaconTime)
	defer ticker.Stop()
	sent, reached, changed := fleet.Follow()
	next := firstFrame(sent, reached, revision, version, fresh())
	for {
		if control.SetWriteDeadline(time.Now().Add(feedWrite)) != nil || encoder.Encode(next) != nil || control.Flush() != nil {
			return // the other daemon has left, or reads no more
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-stopped:
			return
		case <-r.Context().Done():
			return
		}
		var current *catalog.View
		current, reached, changed = fleet.Follow()
		next = nextFrame(sent, current, reached, fresh())
		sent = current
	}
}

// feeds chooses the readers that feed this daemon.
type feeds struct {
	region, own string
	fleet       *Fleet
	lost        map[string]time.Time
}

// next returns the reader to follow, false if the daemon is to read the store itself: as one
// of the readers, or because all of them are lost.
func (f *feeds) next(now time.Time) (string, bool) {
	feeders, fed := f.fleet.View().Feeders(f.region, f.own)
	if !fed {
		return "", false
	}
	for _, address := range feeders {
		if at, ok := f.lost[address]; !ok || now.Sub(at) >= feederRest {
			return address, true
		}
	}
	return "", false
}

// errFeed are the reasons to leave a reader.
var (
	errNotFresh   = errors.New("the reader does not follow the store")
	errBehind     = errors.New("other daemons know more than the reader")
	errNotReader  = errors.New("the reader has left its role")
	errFeedStatus = errors.New("the reader refused the feed")
)

// follow takes the changes that a reader sends until it is lost or another one is preferred.
func (f *feeds) follow(ctx context.Context, address string, log *zap.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialer := net.Dialer{Timeout: peerDial, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	view := f.fleet.View()
	var version uint64
	if view.Table != nil {
		version = view.Table.Version
	}
	if err := conn.SetDeadline(time.Now().Add(feedSilence)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "GET %s?revision=%d&version=%d HTTP/1.1\r\nHost: %s\r\n\r\n", feedPath, f.fleet.Revision(), version, address); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errFeedStatus
	}
	log.Info("feed_started", zap.String("reader", address), zap.Uint64("revision", f.fleet.Revision()))
	return f.receive(conn, cbor.NewDecoder(resp.Body), address)
}

// receive applies the frames of a feed.
func (f *feeds) receive(conn net.Conn, decoder *cbor.Decoder, address string) error {
	behind := f.fleet.Behind()
	freshAt := time.Now()
	for {
		if err := conn.SetReadDeadline(time.Now().Add(feedSilence)); err != nil {
			return err
		}
		var next frame
		if err := decoder.Decode(&next); err != nil {
			return err
		}
		state, err := next.state(f.fleet.View())
		if err != nil {
			return err
		}
		if next.Whole {
			f.fleet.Replace(state, address)
		} else {
			f.fleet.Apply(state, address)
		}
		now := time.Now()
		if next.Fresh {
			freshAt = now
		}
		select {
		case <-behind:
			return errBehind
		default:
		}
		if now.Sub(freshAt) > feedGrace {
			return errNotFresh
		}
		if feeders, fed := f.fleet.View().Feeders(f.region, f.own); !fed || !slices.Contains(feeders, address) {
			return errNotReader
		}
	}
}

// lose leaves out a reader for a time.
func (f *feeds) lose(now time.Time, address string) { f.lost[address] = now }

// isPeerCall reports whether a path belongs to the calls between daemons.
func isPeerCall(path string) bool { return strings.HasPrefix(path, "/mangoshed-peer/") }
