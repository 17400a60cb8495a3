package peer

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quic-go/quic-go/qlog"
	"github.com/quic-go/quic-go/qlogwriter"
	"github.com/stretchr/testify/require"
)

// path relays the datagrams of one dialled link to a daemon until it is cut.
type path struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	cut         atomic.Bool
	// delayed is set while datagrams of the dialling side are queued in late. lost receives when the
	// cut path has dropped one of the daemon.
	delayed atomic.Bool
	late    chan []byte
	lost    chan struct{}
}

func newPath(t *testing.T, to string) *path {
	address, err := net.ResolveUDPAddr("udp", to)
	require.NoError(t, err)
	p := &path{late: make(chan []byte, 64), lost: make(chan struct{}, 1)}
	p.front, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	p.back, err = net.DialUDP("udp", nil, address)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = p.front.Close(), p.back.Close() })
	go p.copy(p.front, func(data []byte) { _, _ = p.back.Write(data) })
	go p.copy(p.back, func(data []byte) { _, _ = p.front.WriteToUDP(data, p.client.Load()) })
	return p
}

func (p *path) copy(from *net.UDPConn, forward func([]byte)) {
	buffer := make([]byte, 2048)
	for {
		n, source, err := from.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if from == p.front {
			p.client.Store(source)
		}
		switch {
		case from == p.front && p.delayed.Load():
			p.late <- bytes.Clone(buffer[:n])
		case !p.cut.Load():
			forward(buffer[:n])
		case from == p.back:
			select {
			case p.lost <- struct{}{}:
			default:
			}
		}
	}
}

// Guards against a link that looks alive in a partition: its retransmissions would delay
// a frame by as long as the partition lasts. A link that is only idle stays.
func TestUnacknowledgedFrameEndsTheLink(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, nil)
	b, rb := f.start("b", west, nil)
	p := newPath(t, a.Addr())
	target := instance(a)
	target.ControlAddr = p.front.LocalAddr().String()
	b.Dial(target)
	rb.next(t, "up")
	ra.next(t, "up")
	require.NoError(t, a.Send("b", []byte("before")))
	rb.next(t, "frame")
	p.cut.Store(true)
	require.NoError(t, a.Send("b", []byte("lost")))
	require.Equal(t, KindUnreachable, classify("b", ra.next(t, "down").err).Kind)
	require.Equal(t, 1, b.Links(), "the idle side")
}

// Guards against a link that an acknowledgement of an earlier frame, under way when the path
// is cut, keeps alive although the last frame is lost.
func TestLateAcknowledgementDoesNotHideALostFrame(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, nil)
	b, rb := f.start("b", west, nil)
	p := newPath(t, a.Addr())
	target := instance(a)
	target.ControlAddr = p.front.LocalAddr().String()
	b.Dial(target)
	rb.next(t, "up")
	ra.next(t, "up")
	require.NoError(t, b.Send("a", []byte("ready"))) // ends the handshake
	ra.next(t, "frame")
	p.delayed.Store(true)
	require.NoError(t, a.Send("b", []byte("before")))
	rb.next(t, "frame")
	late := <-p.late
	p.cut.Store(true)
	p.delayed.Store(false)
	require.NoError(t, a.Send("b", []byte("lost")))
	<-p.lost
	for more := true; more; {
		_, err := p.back.Write(late)
		require.NoError(t, err)
		select {
		case late = <-p.late:
		default:
			more = false
		}
	}
	require.Equal(t, KindUnreachable, classify("b", ra.next(t, "down").err).Kind)
}

// Guards against links that end although all data are acknowledged, and against links that
// stay although some are not. Times are virtual.
func TestAckWatchEndsOnlySilentLinksWithData(t *testing.T) {
	data := qlog.PacketSent{Frames: []qlog.Frame{{Frame: &qlog.StreamFrame{Length: 5}}}}
	ping := qlog.PacketSent{Frames: []qlog.Frame{{Frame: &qlog.PingFrame{}}}}
	flight := func(bytes int) qlogwriter.Event { return qlog.MetricsUpdated{BytesInFlight: bytes} }
	probe := func(n uint32) qlogwriter.Event { return qlog.PTOCountUpdated{PTOCount: n} }
	type step struct {
		after time.Duration
		event qlogwriter.Event
	}
	for name, c := range map[string]struct {
		steps []step
		ends  time.Duration // after the last step; 0 if the link stays
	}{
		"lost frame": {[]step{{0, data}, {0, flight(50)}, {100 * time.Millisecond, probe(1)}}, ackTimeout},
		"late acknowledgement of an earlier frame": {[]step{
			{0, data}, {0, flight(50)}, {time.Millisecond, data}, {0, flight(100)}, {time.Millisecond, flight(50)}, {time.Second, probe(1)},
		}, ackTimeout},
		"further probes": {[]step{{0, data}, {0, flight(50)}, {0, probe(1)}, {time.Second, data}, {0, probe(2)}}, ackTimeout - time.Second},
		"acknowledged":   {[]step{{0, data}, {0, flight(50)}, {time.Second, flight(0)}}, 0},
		"acknowledged after a probe": {[]step{
			{0, data}, {0, flight(50)}, {time.Second, probe(1)}, {ackTimeout - 1, probe(0)}, {0, flight(0)},
		}, 0},
		"peer that answers some": {[]step{
			{0, data}, {0, flight(90)}, {0, probe(1)}, {ackTimeout - 1, probe(0)}, {0, flight(50)}, {time.Second, probe(1)},
		}, ackTimeout},
		"lost keep-alive":                 {[]step{{0, data}, {0, flight(50)}, {0, flight(0)}, {time.Minute, ping}, {0, flight(30)}, {0, probe(1)}}, 0},
		"frame after a lost keep-alive":   {[]step{{0, ping}, {0, flight(30)}, {0, probe(1)}, {time.Minute, data}, {0, flight(60)}}, ackTimeout},
		"remains of the handshake":        {[]step{{0, data}, {0, flight(70)}, {0, flight(20)}}, 0},
		"connection that has ended since": {[]step{{0, data}, {0, flight(50)}, {0, probe(1)}, {time.Second, nil}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &ackWatch{}
				ended := make(chan time.Time, 1)
				w.onSilence(func() { ended <- time.Now() })
				for _, s := range c.steps {
					time.Sleep(s.after) // virtual
					synctest.Wait()
					require.Empty(t, ended)
					if s.event == nil {
						require.NoError(t, w.Close())
						continue
					}
					w.RecordEvent(s.event)
				}
				last := time.Now()
				time.Sleep(time.Hour)
				synctest.Wait()
				if c.ends == 0 {
					require.Empty(t, ended)
					return
				}
				require.Equal(t, c.ends, (<-ended).Sub(last))
			})
		})
	}
}
