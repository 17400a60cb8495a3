package mesh

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
)

const bodyTestMB = 1 << 20

// bodyTest returns a budget of a daemon with 100 MB, whose bodies may use 35 MB.
func bodyTest() *bodyBudget {
	l := Limits{MemoryMB: 100}
	return newBodyBudget(&l, l.ResponseBudget())
}

// upload returns a request with a body of the announced length.
func upload(length int64, body io.Reader) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	return r
}

// hold takes memory for a body of the size.
func (b *bodyBudget) hold(t *testing.T, size int64) *heldBody {
	h := b.open(httptest.NewRecorder(), upload(size, http.NoBody))
	done, refused := h.grow(size)
	require.Nil(t, refused)
	done()
	return h
}

// Guards against a body that finds no memory and is not refused before it arrives, against a refusal that a caller
// cannot take as not run, and against large bodies that leave no room for small ones.
func TestBodyWithoutMemoryIsRefusedAtItsLength(t *testing.T) {
	b := bodyTest()
	held := b.hold(t, 30*bodyTestMB)
	require.Nil(t, held.complete())
	w := httptest.NewRecorder()
	second := b.open(w, upload(6*bodyTestMB, strings.NewReader("")))
	_, refused, err := readBody(w, upload(6*bodyTestMB, unreadable{t}), second, 0, time.Now().Add(time.Minute))
	require.NoError(t, err)
	require.Equal(t, refusal.Overloaded, refused.Kind)
	require.Equal(t, refusal.NotRun, refused.Run)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode())
	require.Equal(t, bodyRetryAfter, refused.RetryAfter)
	second.release()
	full := b.hold(t, 5*bodyTestMB)
	small := b.hold(t, 4<<10)
	small.release()
	full.release()
	held.release()
	require.Zero(t, b.held.Load())
	b.hold(t, 35*bodyTestMB).release()
}

// unreadable is a body that must not be read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, io.EOF
}

// Guards against callers that stop halfway and keep others from sending bodies, and against a body that is
// arriving and has to make room for one that came later.
func TestStalledBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := bodyTest()
		stalled, moving := b.hold(t, 15*bodyTestMB), b.hold(t, 15*bodyTestMB)
		late := b.open(httptest.NewRecorder(), upload(10*bodyTestMB, http.NoBody))
		_, refused := late.grow(10 * bodyTestMB)
		require.NotNil(t, refused, "nothing has stalled")
		time.Sleep(2 * bodyStallTime)
		moving.read(bodyStallBytes)
		aborted := make(chan struct{})
		stalled.abort = func() { close(aborted) }
		go func() {
			<-aborted
			stalled.release()
		}()
		require.Nil(t, late.announced(10*bodyTestMB))
		_, refused = late.grow(10 * bodyTestMB)
		require.Nil(t, refused)
		require.NotNil(t, stalled.complete(), "was given up")
		require.Nil(t, moving.complete())
		require.Equal(t, int64(1), b.stalled.Load())
	})
}

// Guards against bodies and responses that together pass the memory of the process.
func TestBodiesAndResponsesShareMemory(t *testing.T) {
	l := Limits{MemoryMB: 100}
	responses := l.ResponseBudget()
	b := newBodyBudget(&l, responses)
	require.Equal(t, int64(0), responses.Reduced())
	held := b.hold(t, 30*bodyTestMB)
	require.Equal(t, int64(10*bodyTestMB), responses.Reduced(), "of 60 MB for both, 30 are left")
	held.release()
	require.Equal(t, int64(0), responses.Reduced())
}

// Guards against a body of unknown length that is cut, or passed on beyond the limit of the table.
func TestChunkedBodiesUpToTheLimit(t *testing.T) {
	for _, size := range []int{0, 1, bodyBufferBytes, bodyBufferBytes + 1, 99_999, 100_000, 100_001} {
		b := bodyTest()
		text := strings.Repeat("x", size)
		w := httptest.NewRecorder()
		r := upload(-1, strings.NewReader(text))
		held := b.open(w, r)
		body, refused, err := readBody(w, r, held, 100_000, time.Now().Add(time.Minute))
		require.NoError(t, err)
		if size > 100_000 {
			require.Equal(t, refusal.TooLarge, refused.Kind)
		} else {
			require.Nil(t, refused)
			require.Equal(t, text, string(body))
		}
		held.release()
		require.Zero(t, b.held.Load())
		require.Zero(t, b.copied)
	}
}

// Guards against requests with large heads that together pass the memory of the process, and against ordinary ones that
// take part of the budget.
func TestHeavyHeadsTakeMemory(t *testing.T) {
	b := bodyTest()
	r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	r.Header.Set("A", strings.Repeat("x", 2000))
	require.Nil(t, b.open(httptest.NewRecorder(), r), "an ordinary head")
	r.Header.Set("A", strings.Repeat("x", 16<<10))
	var all []*heldBody
	for {
		h := b.open(httptest.NewRecorder(), r)
		if refused := h.takeHead(r); refused != nil {
			require.Equal(t, refusal.NotRun, refused.Run)
			require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode())
			break
		}
		all = append(all, h)
	}
	require.InDelta(t, (b.limit+b.small)/(headCopies*(16<<10)), len(all), 30)
	for _, h := range all {
		h.release()
	}
	require.Zero(t, b.held.Load())
}

// Guards against pipelined requests that run ahead without a bound of their memory, among them those with very many
// fields, and against memory that is lost.
func TestRequestsThatRunAheadTakeMemory(t *testing.T) {
	b := bodyTest()
	plain, fields := httptest.NewRequest(http.MethodGet, "/", nil), httptest.NewRequest(http.MethodGet, "/", nil)
	for range 200 {
		fields.Header.Add("A", "x")
	}
	count := func(r *http.Request) (n int64) {
		for memory, ok := b.takeAhead(r); ok; memory, ok = b.takeAhead(r) {
			n++
			defer b.returnAhead(memory)
		}
		return n
	}
	plains, heavy := count(plain), count(fields)
	require.Zero(t, b.ahead.Load())
	require.Less(t, 5*heavy, plains)
	require.Greater(t, heavy, int64(16))
	require.LessOrEqual(t, plains*aheadRunBytes, b.aheadLimit)
	require.Zero(t, b.held.Load(), "bodies are not refused because of them")
	var none *bodyBudget
	memory, ok := none.takeAhead(plain)
	require.True(t, ok)
	none.returnAhead(memory)
}
