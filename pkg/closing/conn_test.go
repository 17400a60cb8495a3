package closing

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoshed.example/mangoshed/pkg/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is longer than any test takes.
const testTimeout = time.Minute

// Guards against closing a connection as idle while bytes of a request have arrived but have not been
// read yet.
func TestConnectionWithUnreadBytesIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	accepted, err := listener{Listener: l}.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	c := accepted.(*conn)
	c.setIdle(true)
	_, err = io.WriteString(peer, "GET")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return exchange.Unread(c) }, testTimeout, time.Millisecond)
	require.False(t, c.closeIfIdle(0))
	buffer := make([]byte, 3)
	_, err = io.ReadFull(c, buffer)
	require.NoError(t, err)

	c.setIdle(true)
	require.True(t, c.closeIfIdle(0))
	_, err = c.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
