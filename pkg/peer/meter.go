package peer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// Direction is the direction of a datagram.
type Direction uint8

// Directions.
const (
	Sent Direction = iota
	Received
)

// String returns the label that metrics use.
func (d Direction) String() string {
	if d == Sent {
		return "sent"
	}
	return "received"
}

// Unattributed is the index of traffic with peers whose place is not known, for example
// refused ones.
const Unattributed = model.CrossRegion + 1

// Count counts datagrams and their bytes on the wire, IP and UDP headers included.
type Count struct {
	Datagrams, Bytes uint64
}

// Traffic is indexed by model.Distance, or Unattributed, and Direction.
type Traffic [Unattributed + 1][2]Count

// counter is the concurrent form of Count.
type counter struct {
	datagrams, bytes atomic.Uint64
}

func (c *counter) add(payload int) {
	c.datagrams.Add(1)
	c.bytes.Add(uint64(payload + headerBytes))
}

// moveTo adds the counts to another counter.
func (c *counter) moveTo(to *counter) {
	to.datagrams.Add(c.datagrams.Swap(0))
	to.bytes.Add(c.bytes.Swap(0))
}

// class counts both directions of one distance.
type class [2]counter

type meter [Unattributed + 1]class

func (m *meter) read() Traffic {
	var t Traffic
	for distance := range m {
		for direction := range m[distance] {
			c := &m[distance][direction]
			t[distance][direction] = Count{Datagrams: c.datagrams.Load(), Bytes: c.bytes.Load()}
		}
	}
	return t
}

// Traffic returns the datagrams and bytes on the wire since the start.
func (t *Transport) Traffic() Traffic { return t.meter.read() }

// ownSocket is the connected socket of one dialled link. Being connected, it reports at
// once that no process listens at the peer's address. It offers no ECN and no batches on
// purpose: ECN would add 3 bytes to every acknowledgement.
type ownSocket struct {
	*udpSocket
	remote net.Addr
	class  *class
}

// udpSocket hides the methods of net.UDPConn by which quic-go would enable ECN, batches
// and larger socket buffers.
type udpSocket struct{ conn *net.UDPConn }

func (s *udpSocket) Close() error                       { return s.conn.Close() }
func (s *udpSocket) LocalAddr() net.Addr                { return s.conn.LocalAddr() }
func (s *udpSocket) SetDeadline(t time.Time) error      { return s.conn.SetDeadline(t) }
func (s *udpSocket) SetReadDeadline(t time.Time) error  { return s.conn.SetReadDeadline(t) }
func (s *udpSocket) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// SetReadBuffer keeps the system's default, which control traffic does not exceed.
func (s *udpSocket) SetReadBuffer(int) error { return nil }

// SetWriteBuffer keeps the system's default.
func (s *udpSocket) SetWriteBuffer(int) error { return nil }

func (s *ownSocket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, err := s.conn.Read(b)
	if err == nil {
		s.class[Received].add(n)
	}
	return n, s.remote, err
}

func (s *ownSocket) WriteTo(b []byte, _ net.Addr) (int, error) {
	n, err := s.conn.Write(b)
	if err == nil {
		s.class[Sent].add(n)
	}
	return n, err
}

// maxPending bounds the addresses whose place is not known yet. Beyond it, what they
// carried so far counts as unattributed.
const maxPending = 4096

// sharedSocket is the listening socket. It counts the traffic of an address apart until
// the peer's hello tells its place.
type sharedSocket struct {
	*udpSocket
	meter *meter

	mu      sync.RWMutex
	known   map[netip.AddrPort]*class // places are known
	pending map[netip.AddrPort]*class // handshakes under way
}

func newSharedSocket(udp *net.UDPConn, m *meter) *sharedSocket {
	return &sharedSocket{
		udpSocket: &udpSocket{udp}, meter: m,
		known: make(map[netip.AddrPort]*class), pending: make(map[netip.AddrPort]*class),
	}
}

func (s *sharedSocket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, address, err := s.conn.ReadFromUDP(b)
	if err != nil {
		return n, nil, err
	}
	s.classOf(address.AddrPort())[Received].add(n)
	return n, address, nil
}

func (s *sharedSocket) WriteTo(b []byte, address net.Addr) (int, error) {
	n, err := s.conn.WriteTo(b, address)
	if err == nil {
		s.classOf(addrPort(address))[Sent].add(n)
	}
	return n, err
}

func addrPort(address net.Addr) netip.AddrPort {
	if udp, ok := address.(*net.UDPAddr); ok {
		return udp.AddrPort()
	}
	return netip.AddrPort{}
}

func (s *sharedSocket) classOf(address netip.AddrPort) *class {
	s.mu.RLock()
	c := s.known[address]
	if c == nil {
		c = s.pending[address]
	}
	s.mu.RUnlock()
	if c != nil {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending { // mostly addresses that never complete a handshake
		for old := range s.pending {
			s.settle(old, Unattributed)
		}
	}
	c = &class{}
	s.pending[address] = c
	return c
}

// attribute counts past and future traffic of an address to a distance.
func (s *sharedSocket) attribute(address netip.AddrPort, distance model.Distance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[address] = &s.meter[distance]
	s.settle(address, distance)
}

// forget ends the attribution of an address.
func (s *sharedSocket) forget(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, address)
	s.settle(address, Unattributed)
}

// settle moves pending counts. The caller holds the mutex.
func (s *sharedSocket) settle(address netip.AddrPort, distance model.Distance) {
	if c := s.pending[address]; c != nil {
		c[Sent].moveTo(&s.meter[distance][Sent])
		c[Received].moveTo(&s.meter[distance][Received])
		delete(s.pending, address)
	}
}
