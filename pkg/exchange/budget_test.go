package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scripted returns a dial function to a peer without a socket that writes the texts, one after the
// other, when it has read a request, and then waits for the end of the connection.
func scripted(texts ...string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			for _, text := range texts {
				if _, err := io.WriteString(far, text); err != nil {
					return
				}
			}
			_, _ = io.Copy(io.Discard, far)
		}()
		return near, nil
	}
}

// result is what became of a request.
type result struct {
	resp *Response
	err  error
}

// start sends a request and returns where its result arrives.
func start(ctx context.Context, x *Client) <-chan result {
	done := make(chan result, 1)
	go func() {
		resp, err := x.Do(ctx, get("a:1", "1"))
		done <- result{resp, err}
	}()
	return done
}

func withLength(size int) string {
	return okHead + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
}

// Guards against answers without end that together take more memory than one alone may.
func TestEndlessAnswersShareOneBudget(t *testing.T) {
	const limit, answers = 1 << 20, 9
	budget := NewBudget(limit, "allow more")
	var group sync.WaitGroup
	for range answers {
		group.Go(func() {
			e := &endless{first: okHead + "\r\n", again: strings.Repeat("x", 4<<10), enough: 16 * limit}
			x := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: e.dial})
			defer x.Close()
			_, err := x.Do(context.Background(), get("a:1", "1"))
			var over *BoundError
			if assert.ErrorAs(t, err, &over) {
				assert.Equal(t, int64(limit), over.Limit)
			}
			assert.True(t, <-e.closed)
			assert.LessOrEqual(t, e.sent.Load(), int64(limit+readBuffer))
			assert.LessOrEqual(t, budget.Held(), int64(limit))
		})
	}
	group.Wait()
	require.Zero(t, budget.Held())
}

// Guards against an answer of usual size that fails because one without end has taken the room.
func TestLargestArrivingAnswerMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(1600<<10, "allow more")
		endless := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: scripted(okHead + "\r\n" + strings.Repeat("x", 600<<10))})
		defer endless.Close()
		cut := start(context.Background(), endless)
		synctest.Wait()
		require.Equal(t, int64(1<<20), budget.Held())

		usual := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: scripted(withLength(900 << 10))})
		defer usual.Close()
		resp, err := usual.Do(context.Background(), get("a:1", "1"))
		require.NoError(t, err)
		require.Len(t, resp.Body, 900<<10)
		var over *BoundError
		require.ErrorAs(t, (<-cut).err, &over)
		require.ErrorContains(t, over, "allow more")
		require.Equal(t, int64(900<<10), budget.Held())
		resp.Release()
		resp.Release()
		require.Zero(t, budget.Held())
	})
}

// Guards against whole answers that are dropped to make room, and against an answer that waits for
// room which nobody gives.
func TestWholeAnswersAreKept(t *testing.T) {
	budget := NewBudget(1<<20, "allow more")
	x := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: scripted(withLength(700 << 10))})
	defer x.Close()
	first, err := x.Do(context.Background(), get("a:1", "1"))
	require.NoError(t, err)
	other := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: scripted(withLength(400 << 10))})
	defer other.Close()
	var over *BoundError
	_, err = other.Do(context.Background(), get("a:1", "1"))
	require.ErrorAs(t, err, &over)
	first.Release()
	second, err := other.Do(context.Background(), get("a:1", "1"))
	require.NoError(t, err)
	second.Release()
	require.Zero(t, budget.Held())
}

// Guards against memory that a peer takes by announcing a long body.
func TestAnnouncedLengthTakesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(64<<20, "allow more")
		x := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: scripted(okHead + "Content-Length: 60000000\r\n\r\nbegin")})
		defer x.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := start(ctx, x)
		synctest.Wait()
		require.Equal(t, int64(trustedLength), budget.Held())
		cancel()
		require.ErrorIs(t, (<-done).err, context.Canceled)
		require.Zero(t, budget.Held())
	})
}

// Guards against bytes of failed answers that stay counted until no answer passes any more, and
// against whole answers that are changed while their buffer grows.
func TestBytesOfAnswersComeBack(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 100_000)
	for name, test := range map[string]struct {
		text string
		body string // empty if the answer is not whole
	}{
		"long, known length": {text: okHead + "Content-Length: 1600000\r\n\r\n" + long, body: long},
		"long, in chunks":    {text: okHead + "Transfer-Encoding: chunked\r\n\r\n186a00\r\n" + long + "\r\n0\r\n\r\n", body: long},
		"broken chunk":       {text: okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloworld"},
		"after a foreign":    {text: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 5\r\n\r\nother" + withLength(3), body: "xxx"},
		"above the budget":   {text: okHead + "Content-Length: 60000000\r\n\r\n" + long},
	} {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(8<<20, "allow more")
			x := NewClient(Config{RequestID: "X-Id", Budget: budget, Dial: scripted(test.text)})
			defer x.Close()
			resp, err := x.Do(context.Background(), get("a:1", "1"))
			if test.body == "" {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, test.body, string(resp.Body))
				require.GreaterOrEqual(t, budget.Held(), int64(len(resp.Body)))
			}
			resp.Release()
			require.Zero(t, budget.Held())
		})
	}
}
