package peer

import (
	"errors"
	"time"
)

// ackTimeout is the time after which a link ends on which nothing arrives although
// something was sent. Retransmissions double their distance: without the timeout, a
// frame that is lost in a partition of 30 s can arrive up to 30 s after its end.
const ackTimeout = 3 * time.Second

// ackWatch checks that the peer acknowledges what is sent. The link's queue mutex guards
// it.
type ackWatch struct {
	armed    bool
	since    time.Time // first write after the last packet of the peer
	received uint64    // packets of the peer at that time
}

// expectAck starts the watch at a write.
func (l *link) expectAck() {
	received := l.conn.ConnectionStats().PacketsReceived
	l.queue.Lock()
	defer l.queue.Unlock()
	w := &l.ack
	if !w.armed || received != w.received {
		w.since, w.received = time.Now(), received
	}
	if !w.armed {
		w.armed = true
		time.AfterFunc(ackTimeout, l.checkAck)
	}
}

// checkAck ends the link when nothing has arrived in time.
func (l *link) checkAck() {
	if l.conn.Context().Err() != nil {
		return
	}
	received := l.conn.ConnectionStats().PacketsReceived
	l.queue.Lock()
	w := &l.ack
	wait := ackTimeout - time.Since(w.since)
	if received != w.received {
		w.armed = false
		l.queue.Unlock()
		return
	}
	l.queue.Unlock()
	if wait > 0 {
		time.AfterFunc(wait, l.checkAck)
		return
	}
	l.transport.drop(l, &Error{Kind: KindUnreachable, Peer: l.peer, Err: errors.New("nothing is acknowledged")}, codeClosed)
}
