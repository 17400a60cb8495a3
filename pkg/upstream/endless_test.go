package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
)

// Guards against an upstream whose answer has no end before its body, and fills the memory.
func TestEndlessHeadIsCut(t *testing.T) {
	line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
	for name, text := range map[string][2]string{
		"status line":    {"HTTP/1.1 200 ", line[:1000]},
		"header lines":   {"HTTP/1.1 200 OK\r\n", line},
		"interims":       {"", "HTTP/1.1 102 Processing\r\n" + line + "\r\n"},
		"large interims": {"", "HTTP/1.1 102 Processing\r\n" + strings.Repeat(line, 20) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const readAhead = 4 << 10
				taken, closed := 0, false
				f := &fake{script: func(conn net.Conn, _ *http.Request) {
					for next := text[0]; taken < 16*maxAnswerHead; next = text[1] {
						n, err := io.WriteString(conn, next)
						taken += n
						if closed = errors.Is(err, io.ErrClosedPipe); err != nil {
							return
						}
					}
					_ = conn.Close()
				}}
				g, end := newGuard(t, f, nil)
				_, refused, _ := call(g, request(context.Background(), "GET", ""))
				require.NotNil(t, refused)
				require.Equal(t, refusal.MayHaveRun, refused.Run)
				require.Equal(t, refusal.UpstreamFailed, refused.Kind)
				end()
				require.True(t, closed, "the connection is closed")
				require.LessOrEqual(t, taken, maxAnswerHead+readAhead)
			})
		})
	}
}

// Guards against a body without end that is read on after its caller has gone.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	for name, head := range map[string]string{"chunks": "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "length": "Content-Length: 9000000000000000000\r\n\r\n", "no length": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const enough, wanted = 4 << 20, 100_000
				taken := 0
				f := &fake{script: func(conn net.Conn, _ *http.Request) {
					_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head)
					for err == nil && taken < enough {
						var n int
						n, err = io.WriteString(conn, strings.Repeat("x", 1000))
						taken += n
					}
				}}
				g, end := newGuard(t, f, nil)
				resp, err := g.RoundTrip(request(context.Background(), "GET", ""))
				require.NoError(t, err)
				_, err = io.CopyN(io.Discard, resp.Body, wanted)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				end()
				require.Less(t, taken, 2*wanted)
			})
		})
	}
}
