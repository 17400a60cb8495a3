package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/qlog"
	"github.com/quic-go/quic-go/qlogwriter"
)

// ackTimeout is the time after which a link ends that has sent stream data and whose probes
// stay unanswered. Retransmissions double their distance: without the timeout, a frame that
// is lost in a partition of 30 s can arrive up to 30 s after its end.
const ackTimeout = 3 * time.Second

var errSilent = errors.New("nothing is acknowledged")

// ackWatch checks that the peer of one connection acknowledges stream data. It follows the
// events of the QUIC connection, which tell what a count of received packets does not: a
// packet that the peer sent before a partition can arrive after a write that is lost in it.
// A lost keep-alive alone does not end a link.
type ackWatch struct {
	mu sync.Mutex
	// unacked says that stream data may be unacknowledged; it can stay set when only packets
	// of the handshake were in flight, so that it decides nothing without probes.
	unacked bool
	probes  uint32      // probe timeouts since the last acknowledgement
	timer   *time.Timer // runs while unacked data are probed for
	silent  func()      // ends the link; nil before there is one
	closed  bool
}

// AddProducer implements qlogwriter.Trace.
func (w *ackWatch) AddProducer() qlogwriter.Recorder { return w }

// RecordEvent implements qlogwriter.Recorder.
func (w *ackWatch) RecordEvent(event qlogwriter.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch e := event.(type) {
	case qlog.PacketSent:
		w.unacked = w.unacked || slices.ContainsFunc(e.Frames, isStream)
	case qlog.MetricsUpdated:
		w.unacked = w.unacked && e.BytesInFlight > 0
	case qlog.PTOCountUpdated:
		w.probes = e.PTOCount
	default:
		return
	}
	w.update()
}

func isStream(f qlog.Frame) bool {
	_, ok := f.Frame.(*qlog.StreamFrame)
	return ok
}

// update starts or stops the timer. The caller holds the mutex.
func (w *ackWatch) update() {
	waits := w.unacked && w.probes > 0 && !w.closed
	switch {
	case waits && w.timer == nil:
		w.timer = time.AfterFunc(ackTimeout, w.expire)
	case !waits && w.timer != nil:
		w.timer.Stop()
		w.timer = nil
	}
}

// expire ends the link unless an acknowledgement came just before.
func (w *ackWatch) expire() {
	w.mu.Lock()
	w.timer = nil
	silent := w.silent
	if !w.unacked || w.probes == 0 || w.closed {
		silent = nil
	}
	w.mu.Unlock()
	if silent != nil {
		silent()
	}
}

// Close implements qlogwriter.Recorder.
func (w *ackWatch) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.update()
	return nil
}

// onSilence sets what ends the link.
func (w *ackWatch) onSilence(silent func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// ackKey is the key of a connection's watch in its context.
type ackKey struct{}

// withAckWatch returns the context of a connection that is to be watched.
func withAckWatch(ctx context.Context) context.Context {
	return context.WithValue(ctx, ackKey{}, &ackWatch{})
}

// traceAcks is the quic.Config.Tracer that feeds the watch of a connection.
func traceAcks(ctx context.Context, _ bool, _ quic.ConnectionID) qlogwriter.Trace {
	if w, ok := ctx.Value(ackKey{}).(*ackWatch); ok {
		return w
	}
	return nil
}

// watchAcks ends the link when its connection carries data and stays silent.
func (l *link) watchAcks() {
	if w, ok := l.conn.Context().Value(ackKey{}).(*ackWatch); ok {
		w.onSilence(func() {
			l.transport.drop(l, &Error{Kind: KindUnreachable, Peer: l.peer, Err: errSilent}, codeClosed)
		})
	}
}
