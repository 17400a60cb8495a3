package peer

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// path relays the datagrams of one dialled link to a daemon until it is cut.
type path struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	cut         atomic.Bool
}

func newPath(t *testing.T, to string) *path {
	address, err := net.ResolveUDPAddr("udp", to)
	require.NoError(t, err)
	p := &path{}
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
		if !p.cut.Load() {
			forward(buffer[:n])
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
