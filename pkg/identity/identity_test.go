package identity

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func authority(t *testing.T) *Authority {
	t.Helper()
	a, pair, err := NewAuthority("test authority", time.Now())
	require.NoError(t, err)
	reopened, err := OpenAuthority(pair)
	require.NoError(t, err)
	require.Equal(t, a.CertPEM(), reopened.CertPEM())
	return reopened
}

func source(t *testing.T, a *Authority, holder Peer) *Source {
	t.Helper()
	pair, err := a.Issue(holder, time.Now(), LeafValidity)
	require.NoError(t, err)
	s, err := FromPEM(a.CertPEM(), pair.Cert, pair.Key)
	require.NoError(t, err)
	require.Equal(t, holder, s.Self())
	return s
}

// handshake runs both sides over an in-memory connection.
func handshake(client, server *tls.Config) (Peer, error, error) {
	a, b := net.Pipe()
	clientErr := make(chan error, 1)
	go func() {
		conn := tls.Client(a, client)
		err := conn.HandshakeContext(context.Background())
		if err == nil {
			// In TLS 1.3 the server's verdict on the client reaches it with the first read.
			_, err = conn.Read(make([]byte, 1))
		}
		clientErr <- err
		_ = a.Close()
	}()
	conn := tls.Server(b, server)
	serverErr := conn.Handshake()
	peer := Peer{}
	if serverErr == nil {
		peer, _ = PeerOf(conn.ConnectionState())
		_, _ = conn.Write([]byte{1})
	}
	err := <-clientErr
	_ = b.Close()
	return peer, err, serverErr
}

// Guards against a daemon that talks to a stranger, or to another instance at a reused address.
func TestHandshakeVerdicts(t *testing.T) {
	ours, foreign := authority(t), authority(t)
	server := source(t, ours, Peer{Instance: "b-1"})
	cases := []struct {
		name     string
		client   *tls.Config
		server   *tls.Config
		accepted bool
		peer     Peer
	}{
		{"own instance", source(t, ours, Peer{Instance: "a-1"}).ClientTLS("b-1"), server.ServerTLS(), true, Peer{Instance: "a-1"}},
		{"own service", source(t, ours, Peer{Service: "roster"}).ClientTLS("b-1"), server.ServerTLS(), true, Peer{Service: "roster"}},
		{"address reused by another instance", source(t, ours, Peer{Instance: "a-1"}).ClientTLS("b-2"), server.ServerTLS(), false, Peer{}},
		{"foreign authority", source(t, foreign, Peer{Instance: "a-1"}).ClientTLS("b-1"), server.ServerTLS(), false, Peer{}},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, server.ServerTLS(), false, Peer{}},
		{"no certificate where optional", &tls.Config{InsecureSkipVerify: true}, server.OptionalServerTLS(), true, Peer{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer, clientErr, serverErr := handshake(c.client, c.server)
			if !c.accepted {
				require.True(t, clientErr != nil || serverErr != nil)
				return
			}
			require.NoError(t, clientErr)
			require.NoError(t, serverErr)
			require.Equal(t, c.peer, peer)
		})
	}
}

// Guards against a rotation that needs a restart, and against a bad file that takes the
// working certificate out of use.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	files := Files{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	write := func(a *Authority, holder Peer) {
		pair, err := a.Issue(holder, time.Now(), LeafValidity)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(files.CA, a.CertPEM(), 0o600))
		require.NoError(t, os.WriteFile(files.Cert, pair.Cert, 0o600))
		require.NoError(t, os.WriteFile(files.Key, pair.Key, 0o600))
	}
	write(authority(t), Peer{Instance: "a-1"})
	s, err := Load(files)
	require.NoError(t, err)
	config := s.ServerTLS()

	rotated := authority(t)
	write(rotated, Peer{Instance: "a-1"})
	require.NoError(t, s.Reload())
	_, clientErr, serverErr := handshake(source(t, rotated, Peer{Instance: "b-1"}).ClientTLS("a-1"), config)
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)

	write(rotated, Peer{Instance: "a-2"})
	require.ErrorContains(t, s.Reload(), "names instance/a-2, but the one in use names instance/a-1")
	require.Equal(t, Peer{Instance: "a-1"}, s.Self())

	require.NoError(t, os.WriteFile(files.Cert, []byte("not a certificate"), 0o600))
	err = s.Reload()
	var idErr *Error
	require.ErrorAs(t, err, &idErr)
	require.Equal(t, files.Cert, idErr.File)
	require.Contains(t, err.Error(), "mangoshedctl keys instance")
	require.Equal(t, Peer{Instance: "a-1"}, s.Self())
}
