package refusal

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against losing or changing parts of a refusal in transit between two daemons.
func TestRefusalRoundTrip(t *testing.T) {
	for _, want := range []*Refusal{
		{Kind: Overloaded, Run: NotRun, Remedy: "try again", RetryAfter: 2 * time.Second},
		{Kind: UnknownOutcome, Run: MayHaveRun, Remedy: "look up the booking"},
		{Kind: Quarantined, Run: NotRun, Remedy: "change the request"},
	} {
		t.Run(string(want.Kind), func(t *testing.T) {
			rec := httptest.NewRecorder()
			Write(rec, want)
			got, ok := FromResponse(rec.Result())
			require.True(t, ok)
			require.Equal(t, want.Kind, got.Kind)
			require.Equal(t, want.Run, got.Run)
			require.Equal(t, want.RetryAfter, got.RetryAfter)
			require.Equal(t, want.StatusCode(), got.StatusCode())
			require.Contains(t, rec.Body.String(), want.Remedy)
		})
	}
}

// Guards against treating a refusal without HeaderRun as NotRun, which would allow a repeat.
func TestMissingRunHeaderMeansMayHaveRun(t *testing.T) {
	resp := &http.Response{Header: http.Header{}}
	resp.Header.Set(HeaderKind, string(Overloaded))
	got, ok := FromResponse(resp)
	require.True(t, ok)
	require.Equal(t, MayHaveRun, got.Run)
	_, ok = FromResponse(&http.Response{Header: http.Header{}})
	require.False(t, ok)
}
