package meshtest

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo serves connections by sending back what arrives, and reports what it has got.
func echo(t *testing.T) (address string, got <-chan string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	pieces := make(chan string, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 64)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						_ = c.Close()
						return
					}
					pieces <- string(buffer[:n])
					_, _ = c.Write(buffer[:n])
				}
			}()
		}
	}()
	return listener.Addr().String(), pieces
}

// Guards against a soak whose proxy harms nothing, or loses what it holds.
func TestProxyHoldsAndResets(t *testing.T) {
	address, got := echo(t)
	p, err := NewProxy("127.0.0.1:0", address)
	require.NoError(t, err)
	defer p.Close()
	c, err := net.Dial("tcp4", p.Addr())
	require.NoError(t, err)
	say := func(text string) {
		_, err := c.Write([]byte(text))
		require.NoError(t, err)
	}
	answer := make([]byte, 3)
	say("one")
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	require.Equal(t, "one", <-got)

	p.SetMode(Mute)
	say("two")
	require.Equal(t, "two", <-got, "what the client sends passes")
	read := make(chan string)
	go func() {
		_, _ = io.ReadFull(c, answer)
		read <- string(answer)
	}()
	p.SetMode(Silent)
	say("six")
	select {
	case text := <-read:
		require.Fail(t, "an answer passed", text)
	case text := <-got:
		require.Fail(t, "a request passed", text)
	default:
	}
	p.SetMode(Pass)
	require.Equal(t, "two", <-read, "what was held goes on")
	require.Equal(t, "six", <-got)

	p.Reset()
	_, err = io.ReadAll(c)
	require.Error(t, err, "the connection was reset")
	again, err := net.Dial("tcp4", p.Addr())
	require.NoError(t, err)
	_, err = again.Write([]byte("new"))
	require.NoError(t, err)
	require.Equal(t, "new", <-got)
	require.NoError(t, again.Close())
}
