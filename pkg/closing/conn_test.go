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

// farEnd is an end that no test reaches.
const farEnd = time.Minute

// Guards against a request that has arrived and is not read yet when its connection is closed as
// idle.
func TestConnectionWithUnreadBytesIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	accepted, err := listener{l}.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	c := accepted.(*conn)
	c.setIdle(true)
	_, err = io.WriteString(peer, "GET")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return exchange.Unread(c) }, farEnd, time.Millisecond)
	require.False(t, c.endIfIdle(0))
	read := make([]byte, 3)
	_, err = io.ReadFull(c, read)
	require.NoError(t, err)

	c.setIdle(true)
	require.True(t, c.endIfIdle(0))
	_, err = c.Read(read)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
