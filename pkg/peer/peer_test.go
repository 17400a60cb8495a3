package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/identity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bound is generous: it only ends tests that would hang.
const bound = 30 * time.Second

// event is one call of a Handler.
type event struct {
	kind string
	peer model.InstanceID
	data []byte
	err  error
}

// recorder is a Handler that queues its calls.
type recorder chan event

func (r recorder) LinkUp(p model.InstanceID) { r <- event{kind: "up", peer: p} }
func (r recorder) LinkDown(p model.InstanceID, err error) {
	r <- event{kind: "down", peer: p, err: err}
}

func (r recorder) Frame(p model.InstanceID, d []byte) { r <- event{kind: "frame", peer: p, data: d} }

func (r recorder) next(t testing.TB, kind string) event {
	t.Helper()
	select {
	case e := <-r:
		require.Equal(t, kind, e.kind, "%v", e.err)
		return e
	case <-time.After(bound):
		t.Fatalf("no event, expected %s", kind)
		return event{}
	}
}

type fleet struct {
	t         testing.TB
	authority *identity.Authority
}

func newFleet(t testing.TB) fleet {
	a, _, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	return fleet{t, a}
}

func (f fleet) source(holder identity.Peer) *identity.Source {
	pair, err := f.authority.Issue(holder, time.Now(), time.Hour)
	require.NoError(f.t, err)
	s, err := identity.FromPEM(f.authority.CertPEM(), pair.Cert, pair.Key)
	require.NoError(f.t, err)
	return s
}

// start runs a daemon's transport until the end of the test.
func (f fleet) start(id model.InstanceID, place model.Place, change func(*Config)) (*Transport, recorder) {
	cfg := Config{Self: model.Instance{ID: id, Place: place, ControlAddr: "127.0.0.1:0"}, Identity: f.source(identity.Peer{Instance: id})}
	if change != nil {
		change(&cfg)
	}
	t, err := New(cfg)
	require.NoError(f.t, err)
	r := make(recorder, 256)
	require.NoError(f.t, t.Start(r))
	f.t.Cleanup(func() { stop(t) })
	return t, r
}

func stop(t *Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t.Shutdown(ctx)
}

func instance(t *Transport) model.Instance {
	i := t.cfg.Self
	i.ControlAddr = t.Addr()
	return i
}

var (
	east = model.Place{Region: "r1", DataCentre: "a"}
	west = model.Place{Region: "r2", DataCentre: "a"}
)

// Guards against lost, reordered or cut frames, a wrong peer identity and lost frames at
// a planned close.
func TestFramesArriveInOrderUpToTheClose(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, nil)
	b, rb := f.start("b", west, nil)
	a.Dial(instance(b))
	require.Equal(t, model.InstanceID("b"), ra.next(t, "up").peer)
	require.Equal(t, model.InstanceID("a"), rb.next(t, "up").peer)
	sizes := []int{1, 127, 128, 70000, MaxFrameBytes, 5}
	for n, size := range sizes {
		require.NoError(t, a.Send("b", bytes.Repeat([]byte{byte(n + 1)}, size)))
	}
	a.Close("b", "planned")
	for n, size := range sizes {
		require.Equal(t, bytes.Repeat([]byte{byte(n + 1)}, size), rb.next(t, "frame").data)
	}
	down := rb.next(t, "down")
	require.Equal(t, KindClosed, classify("a", down.err).Kind)
	require.Error(t, a.Send("b", []byte("x")))
	require.Error(t, a.Send("b", make([]byte, MaxFrameBytes+1)))
	require.Greater(t, a.Traffic()[model.CrossRegion][Sent].Bytes, uint64(MaxFrameBytes))
	require.Greater(t, b.Traffic()[model.CrossRegion][Received].Bytes, uint64(MaxFrameBytes))
	require.Zero(t, a.Malformed()+b.Malformed())
	require.Empty(t, ra, "the closing side gets no LinkDown")
}

// Guards against two links between two daemons, or none, after both dialled.
func TestSimultaneousDialsLeaveOneLink(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, func(c *Config) { c.HandshakesPerSecond = 1000 })
	b, rb := f.start("b", east, func(c *Config) { c.HandshakesPerSecond = 1000 })
	for range 30 {
		a.Dial(instance(b))
		b.Dial(instance(a))
		ra.next(t, "up")
		rb.next(t, "up")
		require.NoError(t, a.Send("b", []byte("to b")))
		require.Equal(t, "to b", string(rb.next(t, "frame").data))
		require.NoError(t, b.Send("a", []byte("to a")))
		require.Equal(t, "to a", string(ra.next(t, "frame").data))
		require.Equal(t, 1, a.Links())
		require.Equal(t, 1, b.Links())
		b.Close("a", "again")
		ra.next(t, "down")
	}
}

// Guards against a link to a dead process that hides its successor.
func TestRestartedPeerReplacesItsLink(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, nil)
	for range 2 {
		b, rb := f.start("b", east, nil)
		b.Dial(instance(a))
		rb.next(t, "up")
	}
	ra.next(t, "up")
	require.Equal(t, KindReplaced, classify("b", ra.next(t, "down").err).Kind)
	ra.next(t, "up")
	require.Equal(t, 1, a.Links())
}

// Guards against dials that end without a report, and against waiting for a process that
// does not exist.
func TestFailedDialsAreReported(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, nil)
	b, _ := f.start("b", east, nil)
	gone := instance(b)
	stop(b)
	a.Dial(gone)
	require.Equal(t, KindUnreachable, classify("b", ra.next(t, "down").err).Kind)
	c, _ := f.start("c", east, nil)
	other := instance(c)
	other.ID = "b"
	a.Dial(other)
	require.Equal(t, KindRefused, classify("b", ra.next(t, "down").err).Kind)
	require.Equal(t, uint64(1), a.Refused(ReasonCertificate))
	a.Dial(model.Instance{ID: "d", ControlAddr: "nowhere"})
	ra.next(t, "down")
}

// Guards against peers without the right certificate, and against a burst of handshakes
// that takes the processor from the data path.
func TestRefusedPeersAreCounted(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", east, func(c *Config) { c.HandshakesPerSecond = 4 })
	refused := func(change func(*tls.Config), source *identity.Source) {
		config := source.ClientTLS("a", Protocol)
		change(config)
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		defer cancel()
		conn, err := quic.DialAddr(ctx, a.Addr(), config, baseConfig())
		if err == nil { // the client completes its side before the server checks
			select {
			case <-conn.Context().Done():
			case <-ctx.Done():
				t.Fatal("the peer was not refused")
			}
		}
	}
	keep := func(*tls.Config) {}
	refused(func(c *tls.Config) { c.VerifyConnection = nil }, newFleet(t).source(identity.Peer{Instance: "x"}))
	refused(keep, f.source(identity.Peer{Service: "caller"}))
	refused(keep, f.source(identity.Peer{Instance: "a"}))
	refused(func(c *tls.Config) { c.GetClientCertificate = nil }, f.source(identity.Peer{Instance: "x"}))
	require.Equal(t, uint64(4), a.Refused(ReasonCertificate))
	for a.Refused(ReasonRate) == 0 {
		refused(keep, f.source(identity.Peer{Service: "caller"}))
	}
}

// rawPeer is a peer with a valid certificate that writes arbitrary bytes.
func (f fleet) rawPeer(to *Transport, id model.InstanceID) (*quic.Conn, *quic.Stream) {
	conn, err := quic.DialAddr(f.t.Context(), to.Addr(), f.source(identity.Peer{Instance: id}).ClientTLS(to.cfg.Self.ID, Protocol), baseConfig())
	require.NoError(f.t, err)
	stream, err := conn.OpenStream()
	require.NoError(f.t, err)
	return conn, stream
}

// Guards against bad input that harms more than its own link, or that is not counted.
func TestMalformedInputClosesOnlyItsLink(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, nil)
	good, _ := f.start("good", east, nil)
	good.Dial(instance(a))
	ra.next(t, "up")
	x := Transport{nonce: 1, cfg: Config{Self: model.Instance{Place: east}}}
	greeting, err := x.newHello()
	require.NoError(t, err)
	oversized := binary.AppendUvarint(nil, MaxFrameBytes+1)
	cases := map[string][]byte{
		"truncated": {100, 'x'}, "empty": {0}, "oversized": oversized,
		"endless length": bytes.Repeat([]byte{0xff}, 11), "cut length": {0x80},
	}
	n := uint64(0)
	for name, bad := range cases {
		conn, stream := f.rawPeer(a, model.InstanceID(name))
		_, err = stream.Write(append(append(bytes.Clone(greeting), appendFrame(nil, []byte("fine"))...), bad...))
		require.NoError(t, err)
		require.NoError(t, stream.Close())
		ra.next(t, "up")
		require.Equal(t, "fine", string(ra.next(t, "frame").data), "what came before is delivered")
		require.Equal(t, KindMalformed, classify("", ra.next(t, "down").err).Kind)
		<-conn.Context().Done()
		n++
		require.Equal(t, n, a.Malformed(), name)
	}
	for _, bad := range [][]byte{{3, 'a', 'b', 'c'}, appendFrame(nil, make([]byte, maxHelloBytes+1))} {
		conn, stream := f.rawPeer(a, "x")
		_, err = stream.Write(bad)
		require.NoError(t, err)
		<-conn.Context().Done()
	}
	require.Equal(t, uint64(2), a.Refused(ReasonHello))
	require.NoError(t, good.Send("a", []byte("still here")))
	require.Equal(t, "still here", string(ra.next(t, "frame").data))
}

// Guards against a slow peer that blocks the sender or grows its memory without bound.
func TestFullQueueDropsTheLink(t *testing.T) {
	f := newFleet(t)
	a, ra := f.start("a", east, func(c *Config) { c.QueueBytes = 256 << 10 })
	conn, stream := f.rawPeer(a, "slow") // reads nothing after the hello
	x := Transport{nonce: 1}
	greeting, err := x.newHello()
	require.NoError(t, err)
	_, err = stream.Write(greeting)
	require.NoError(t, err)
	ra.next(t, "up")
	frame := make([]byte, 16<<10)
	for err == nil {
		err = a.Send("slow", frame)
	}
	require.Equal(t, KindOverflow, classify("slow", err).Kind)
	require.Equal(t, KindOverflow, classify("slow", ra.next(t, "down").err).Kind)
	<-conn.Context().Done()
	require.Equal(t, uint64(1), a.Overflows())
}

// Guards against memory that a length prefix alone makes the reader allocate, and
// against reads beyond the frame.
func TestReadFrameProperties(t *testing.T) {
	var stream []byte
	for n := range 300 {
		stream = appendFrame(stream, bytes.Repeat([]byte{1}, n*n+1))
	}
	r := bufio.NewReaderSize(bytes.NewReader(stream), readBufferBytes)
	for n := range 300 {
		data, err := readFrame(r, MaxFrameBytes)
		require.NoError(t, err)
		require.Len(t, data, n*n+1)
	}
	_, err := readFrame(r, MaxFrameBytes)
	require.ErrorIs(t, err, io.EOF)
	claim := append(binary.AppendUvarint(nil, MaxFrameBytes), 1, 2, 3)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, _ = readFrame(bufio.NewReaderSize(bytes.NewReader(claim), readBufferBytes), MaxFrameBytes)
		}
	}).AllocedBytesPerOp()
	require.Less(t, allocated, int64(directFrameBytes))
}

// Guards against traffic of strangers that grows the table of addresses.
func TestPendingAddressesAreBounded(t *testing.T) {
	var m meter
	s := newSharedSocket(nil, &m)
	for n := range maxPending + 100 {
		address := net.UDPAddr{IP: net.IPv4(10, 0, byte(n>>8), byte(n)), Port: 1}
		s.classOf(address.AddrPort())[Received].add(100)
	}
	require.Len(t, s.pending, 100)
	require.Equal(t, Count{Datagrams: maxPending, Bytes: maxPending * 128}, m.read()[Unattributed][Received])
}
