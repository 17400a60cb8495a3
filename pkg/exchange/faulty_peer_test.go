package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// refusal is the answer of a peer that has not run the request with the ID, empty for none.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// doTwice sends two requests on one connection to a peer that refuses the first one and answers the second
// one with the text, and returns what the second one gets.
func doTwice(t *testing.T, second string) (*Response, error) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		read(t, r)
		_, _ = io.WriteString(c, refusal("1"))
		read(t, r)
		_, _ = io.WriteString(c, second)
	})
	x := client()
	defer x.Close()
	first, err := x.Do(context.Background(), get(address, "1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, first.Status)
	return x.Do(context.Background(), get(address, "2"))
}

// Guards against an earlier refusal that a peer writes once more on a kept connection: it would say "not
// run" of a request that the peer is running.
func TestEarlierRefusalIsNoAnswer(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{"once more": refusal("1") + ok, "three times more": strings.Repeat(refusal("1"), 3) + ok} {
		resp, err := doTwice(t, text)
		require.NoError(t, err, name)
		require.Equal(t, "ok", string(resp.Body), name)
	}
	for name, text := range map[string]string{
		"without an answer behind it": refusal("1"),
		"without an ID":               refusal("") + ok,
		"too often":                   strings.Repeat(refusal("1"), maxForeign+1) + ok,
		"and closes":                  strings.Replace(refusal("1"), "Not-Run", "Connection: close\r\nNot-Run", 1) + ok,
	} {
		_, err := doTwice(t, text)
		var failed *Error
		require.ErrorAs(t, err, &failed, name)
		require.True(t, failed.Sent, "%s: the request may have run", name)
	}
}

// Guards against an answer without an ID that is taken for that of any request.
func TestAnswerThatNamesNoRequestIsNoAnswer(t *testing.T) {
	for _, status := range []int{200, 204, 400, 421, 429, 503, 504} {
		_, err := doTwice(t, fmt.Sprintf("HTTP/1.1 %d X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status))
		var failed *Error
		require.ErrorAs(t, err, &failed, status)
		require.True(t, failed.Sent && failed.Began, status)
	}
}

// Guards against an answer that is cut anywhere, in its head, between chunks or in the trailer, and passes
// for a whole one.
func TestAnswerCutAtAnyByteIsNoAnswer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\n"
	for name, whole := range map[string]struct{ head, body string }{
		"length":            {head + "Content-Length: 12\r\n\r\n", "twelve bytes"},
		"chunked":           {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n"},
		"chunked, trailer":  {head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n", "5\r\nhello\r\n0\r\nSum: 1\r\n\r\n"},
		"empty":             {head + "Content-Length: 0\r\n\r\n", ""},
		"without length":    {head + "\r\n", ""},
		"after an interim":  {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 1\r\n\r\n", "1"},
		"no content":        {strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n", ""},
		"not run, no body":  {strings.Replace(head, "200 OK", "503 Busy", 1) + "Not-Run: 1\r\n\r\n", ""},
		"folded header":     {head + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n", ""},
		"length then chunk": {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"},
	} {
		text := whole.head + whole.body
		for cut := range len(text) {
			address := peer(t, func(c net.Conn, r *bufio.Reader) {
				read(t, r)
				_, _ = io.WriteString(c, text[:cut])
			})
			x := client()
			_, err := x.Do(context.Background(), get(address, "1"))
			x.Close()
			var failed *Error
			require.ErrorAs(t, err, &failed, "%s: %q", name, text[:cut])
			require.True(t, failed.Sent)
		}
	}
}

// Guards against an answer that makes the caller's connection another protocol's.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	_, err := doTwice(t, "HTTP/1.1 101 Switching Protocols\r\nX-Id: 2\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent && failed.Began)
}

// Guards against a response that is cut by a reset while the request is still being written. The write
// takes the error of the connection, so that the read sees an ordinary end of a response without length.
func TestResponseCutWhileTheRequestIsWrittenIsNotWhole(t *testing.T) {
	const plays = 25 // the reset reached the write first in about nine of ten plays
	body := make([]byte, 16<<20)
	for range plays {
		address := peer(t, func(c net.Conn, r *bufio.Reader) {
			_, err := http.ReadRequest(r)
			require.NoError(t, err)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\na part of the body")
			require.NoError(t, c.(*net.TCPConn).SetLinger(0)) // the close resets the connection
		})
		x := client()
		r := get(address, "1")
		r.Method, r.Body, r.HasBody = http.MethodPost, body, true
		resp, err := x.Do(context.Background(), r)
		x.Close()
		require.Nil(t, resp)
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.Sent && failed.Began, "the request may have run")
	}
}

// Guards against a response that ends with its connection before the request has been written and counts
// as whole: whether the peer closed the connection or lost it can no longer be told.
func TestResponseWithoutLengthToAnUnfinishedRequestIsNotWhole(t *testing.T) {
	read := make(chan struct{})
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		_, err := http.ReadRequest(r)
		require.NoError(t, err)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nearly")
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		<-read
	})
	defer close(read)
	x := client()
	defer x.Close()
	r := get(address, "1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, 64<<20), true
	_, err := x.Do(context.Background(), r)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent && failed.Began)
}

// Guards against a response without length to a long request that was read as a whole: it is complete.
func TestResponseWithoutLengthToALongRequest(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, req.Body)
		require.NoError(t, err)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
	})
	x := client()
	defer x.Close()
	r := get(address, "1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, 16<<20), true
	resp, err := x.Do(context.Background(), r)
	require.NoError(t, err)
	require.Equal(t, "whole", string(resp.Body))
}

// Guards against a status that HTTP does not define: below 100 it was taken for an interim response, so
// that the client waited for another one, and above 599 it was passed on.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for name, next := range map[string]string{"alone": "", "before another response": "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok"} {
			_, err := doTwice(t, "HTTP/1.1 "+status+" X\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"+next)
			var failed *Error
			require.ErrorAs(t, err, &failed, "%s %s", status, name)
			require.True(t, failed.Sent && failed.Began, "%s %s", status, name)
			require.ErrorIs(t, err, errStatus, "%s %s", status, name)

		}
	}
}

// Guards against an invalid status in place of the interim response that asks for the body.
func TestInvalidStatusDoesNotAskForTheBody(t *testing.T) {
	for _, status := range []string{"000", "600"} {
		address := peer(t, func(c net.Conn, r *bufio.Reader) {
			_, err := http.ReadRequest(r)
			require.NoError(t, err)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		})
		x := client()
		r := get(address, "1")
		r.Method, r.Body, r.HasBody, r.Confirm = http.MethodPost, []byte("body"), true, true
		_, err := x.Do(context.Background(), r)
		x.Close()
		var failed *Error
		require.ErrorAs(t, err, &failed, status)
		require.False(t, failed.Sent, status)
	}
}
