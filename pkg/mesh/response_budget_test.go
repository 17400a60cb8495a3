package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// dialResponse returns a dial function for a server that sends one response with a body of the size.
func dialResponse(framing string, size int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\n"+framing+"\r\n"); err != nil {
				return
			}
			_, _ = io.CopyN(far, zeros{}, size) // fails if the client aborts the response
		}()
		return near, nil
	}
}

// Guards against a memory budget that is too small for the largest responses that a daemon has to
// forward at the site with the least memory.
func TestLargestResponsesPassOnASmallDaemon(t *testing.T) {
	const leastMemoryMB = 184
	for name, test := range map[string]struct {
		announced bool
		size      int64
	}{
		"announced": {true, exchange.DefaultMaxAnswer},
		"no length": {false, 40 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			limits := Limits{MemoryMB: leastMemoryMB}
			budget := limits.ResponseBudget()
			framing := "Connection: close\r\n"
			if test.announced {
				framing = fmt.Sprintf("Content-Length: %d\r\n", test.size)
			}
			x := exchange.NewClient(exchange.Config{Budget: budget, Dial: dialResponse(framing, test.size)})
			defer x.Close()
			resp, err := x.Do(context.Background(), &exchange.Request{Address: "a:1", Method: http.MethodGet, Target: "/", Host: "h"})
			require.NoError(t, err)
			require.Len(t, resp.Body, int(test.size))
			resp.Release()
			require.Zero(t, budget.Held())
		})
	}
}
