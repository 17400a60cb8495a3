package meshtest

import (
	"fmt"
	"io"
	"net"
	"strings"
)

const (
	// endlessBytes is where an answer without end stops all the same, so that a daemon without a
	// bound fails a test and not the machine. The connection stays open.
	endlessBytes = 64 << 20
	// endlessLine is the size of the pieces in bytes.
	endlessLine = 4 << 10
)

// endless returns the begin of an answer without end and what is repeated; empty for other faults.
func (u *Upstream) endless(r *Request, fault Fault) (first, again string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\n", u.headers.RequestID, r.ID, u.headers.Proof)
	text := strings.Repeat("x", endlessLine)
	switch fault {
	case EndlessStatus:
		return "HTTP/1.1 200 ", text
	case EndlessHeader:
		return head + "X-More: ", text
	case EndlessHeaders:
		return head, "X-More: " + text + "\r\n"
	case EndlessInterims:
		return "", "HTTP/1.1 102 Processing\r\nX-More: " + text + "\r\n\r\n"
	case EndlessChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	case EndlessBody:
		return head + "Connection: close\r\n\r\n", text
	case EnormousLength:
		return head + "Content-Length: 9000000000000000000\r\n\r\n", text
	case EndlessForeign:
		other := strings.Replace(head, r.ID, "other", 1) + "Content-Length: 5\r\n\r\nother"
		return other, other
	case EndlessTail:
		body := Body(r.ID, u.Size)
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s%s", head, len(body), body, text), text
	}
	return "", ""
}

// writeEndless writes until the other side closes the connection.
func (u *Upstream) writeEndless(c net.Conn, first, again string) {
	written := 0
	for text := first; written < endlessBytes; text = again {
		n, err := io.WriteString(c, text)
		if err != nil {
			return
		}
		written += n
	}
	_, _ = io.Copy(io.Discard, c)
}
