package peer

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
)

// keptBufferBytes is the largest write buffer that an idle link keeps.
const keptBufferBytes = 2 << 10

// link is one connection to a peer.
type link struct {
	transport *Transport
	peer      model.InstanceID
	conn      *quic.Conn
	stream    *quic.Stream
	reader    *bufio.Reader
	hello     hello  // of the peer
	release   func() // frees the own socket of a dialled link

	events sync.Mutex // serialises handler calls
	isUp   bool
	isDown bool

	queue   sync.Mutex // guards the fields below
	pending []byte     // framed, not yet handed to the stream
	spare   []byte
	writing int  // bytes that are being handed to the stream
	busy    bool // a writer runs
	closing bool
}

func newLink(t *Transport, peer model.InstanceID, conn *quic.Conn, stream *quic.Stream, reader *bufio.Reader, h hello) *link {
	l := &link{transport: t, peer: peer, conn: conn, stream: stream, reader: reader, hello: h, release: func() {}}
	l.watchAcks()
	return l
}

// up reports the link. The caller holds Transport.order.
func (l *link) up() {
	l.events.Lock()
	defer l.events.Unlock()
	l.isUp = true
	l.transport.handler.LinkUp(l.peer)
}

// down reports the end of the link, once. The caller holds Transport.order.
func (l *link) down(cause error) {
	l.events.Lock()
	defer l.events.Unlock()
	if l.isDown || !l.isUp {
		return
	}
	l.isDown = true
	l.transport.cfg.Log.Info("link_closed", zap.String("peer", string(l.peer)), zap.Error(cause))
	l.transport.handler.LinkDown(l.peer, cause)
}

// silence ends the events of the link. The caller holds Transport.order.
func (l *link) silence(reason string) {
	l.events.Lock()
	defer l.events.Unlock()
	l.isDown = true
	l.transport.cfg.Log.Info("link_closed", zap.String("peer", string(l.peer)), zap.String("reason", reason))
}

// deliver reports a frame unless the link was reported as down.
func (l *link) deliver(data []byte) {
	l.events.Lock()
	defer l.events.Unlock()
	if !l.isDown {
		l.transport.handler.Frame(l.peer, data)
	}
}

// run reads frames until the link ends.
func (l *link) run() {
	var err error
	for {
		var data []byte
		if data, err = readFrame(l.reader, MaxFrameBytes); err != nil {
			break
		}
		l.deliver(data)
	}
	code := codeClosed
	cause := classify(l.peer, err)
	var malformed *frameError
	if errors.As(err, &malformed) {
		l.transport.stats.malformed.Add(1)
		code, cause = codeMalformed, &Error{Kind: KindMalformed, Peer: l.peer, Err: err}
	}
	l.transport.drop(l, cause, code)
}

// end removes the link, takes no further frames and reports LinkDown.
func (t *Transport) end(l *link, cause *Error) {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	if t.links[l.peer] == l {
		delete(t.links, l.peer)
	}
	t.mu.Unlock()
	l.stopSending()
	l.down(cause)
}

// stopSending refuses further frames.
func (l *link) stopSending() {
	l.queue.Lock()
	defer l.queue.Unlock()
	l.closing = true
}

// drop ends the link and closes its connection at once.
func (t *Transport) drop(l *link, cause *Error, code quic.ApplicationErrorCode) {
	t.end(l, cause)
	l.abort(code, string(cause.Kind))
}

// abort closes the connection at once. It is safe to call it again.
func (l *link) abort(code quic.ApplicationErrorCode, reason string) {
	_ = l.conn.CloseWithError(code, reason)
}

// send queues a frame.
func (l *link) send(data []byte) *Error {
	l.queue.Lock()
	defer l.queue.Unlock()
	if l.closing {
		return &Error{Kind: KindClosed, Peer: l.peer, Err: errors.New("the link is closing")}
	}
	if len(l.pending)+l.writing+len(data) > l.transport.cfg.QueueBytes {
		l.closing = true
		return &Error{Kind: KindOverflow, Peer: l.peer, Err: errors.New("the send queue is full")}
	}
	l.pending = appendFrame(l.pending, data)
	l.startWriter()
	return nil
}

// sendRaw queues bytes that are framed already.
func (l *link) sendRaw(framed []byte) {
	l.queue.Lock()
	defer l.queue.Unlock()
	l.pending = append(l.pending, framed...)
	l.startWriter()
}

// startWriter starts a writer if none runs; an idle link has none. The caller holds the
// queue's mutex.
func (l *link) startWriter() {
	if !l.busy {
		l.busy = true
		l.transport.tasks.Go(l.write)
	}
}

// write hands the queue to the stream. Frames queued meanwhile go out together, so that
// they share packets.
func (l *link) write() {
	for {
		l.queue.Lock()
		if len(l.pending) == 0 {
			l.busy, l.writing = false, 0
			closing := l.closing
			l.queue.Unlock()
			if closing {
				_ = l.stream.Close()
			}
			return
		}
		batch := l.pending
		l.pending, l.spare = l.spare, nil
		l.writing = len(batch)
		l.queue.Unlock()
		if _, err := l.stream.Write(batch); err != nil {
			return // busy stays set; the reader ends the link
		}
		l.queue.Lock()
		if cap(batch) <= keptBufferBytes {
			l.spare = batch[:0]
		}
		l.queue.Unlock()
	}
}

// finish lets the queue of an ended link be sent, ends the stream, and closes the
// connection when the peer has read it all or after the linger time.
func (l *link) finish() {
	l.queue.Lock()
	l.startWriter()
	l.queue.Unlock()
	timer := time.AfterFunc(lingerTime, func() { l.abort(codeClosed, "closed") })
	context.AfterFunc(l.conn.Context(), func() { timer.Stop() })
}
