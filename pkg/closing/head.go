package closing

import (
	"bytes"
	"strconv"
)

// headState tells how much of a request's head some bytes contain.
type headState uint8

const (
	headPartial headState = iota // the head is not complete yet
	headWhole
	// headUnusual is a head whose framing is not followed here: its request's end is unknown.
	headUnusual
)

// message is the framing of a request.
type message struct {
	size int   // of the head, in bytes
	body int64 // length of the body
	last bool  // the server closes the connection after the response
}

var (
	headEnd     = []byte("\r\n\r\n")
	versionEnd  = []byte(" HTTP/1.1\r\n")
	closeOption = []byte("close")
)

// scanHead finds the end of the request that the bytes begin with. It understands HTTP/1.1 requests with
// CRLF line ends and with a Content-Length or no body. net/http accepts more (bare LF, continuation
// lines, chunked bodies); these are reported as unusual, so that the two never disagree about where a
// request ends.
func scanHead(b []byte) (message, headState) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return message{}, partialState(b)
	}
	m := message{size: end + len(headEnd), body: -1}
	line, rest := cutLine(b[:end+2])
	if line[0] < 'A' || line[0] > 'Z' || !bytes.HasSuffix(line, versionEnd) {
		return message{}, headUnusual
	}
	for len(rest) > 0 {
		line, rest = cutLine(rest)
		if len(line) < 2 || line[len(line)-2] != '\r' || !m.field(line) {
			return message{}, headUnusual
		}
	}
	m.body = max(0, m.body)
	return m, headWhole
}

// partialState returns the state of an incomplete head: unusual if it has a line that ends without CR.
func partialState(b []byte) headState {
	for rest := b; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return headPartial
		}
		if i == 0 || rest[i-1] != '\r' {
			return headUnusual
		}
		rest = rest[i+1:]
	}
	return headPartial
}

// cutLine returns the first line, its end included, and the bytes after it.
func cutLine(b []byte) (line, rest []byte) {
	n := bytes.IndexByte(b, '\n') + 1
	if n == 0 {
		n = len(b)
	}
	return b[:n], b[n:]
}

// field applies a header line to the framing. It returns false if the framing is unusual.
func (m *message) field(line []byte) bool {
	switch line[0] {
	case ' ', '\t': // continues the line before
		return false
	case 'c', 'C':
		if value, ok := fieldValue(line, "content-length"); ok {
			n, err := strconv.ParseUint(string(value), 10, 62)
			if err != nil || m.body >= 0 {
				return false
			}
			m.body = int64(n)
		} else if value, ok := fieldValue(line, "connection"); ok {
			m.last = m.last || bytes.Contains(bytes.ToLower(value), closeOption)
		}
	case 't', 'T':
		_, ok := fieldValue(line, "transfer-encoding")
		return !ok
	case 'e', 'E':
		_, ok := fieldValue(line, "expect")
		return !ok
	}
	return true
}

// fieldValue returns the value of a header line if it has the name, which is in lower case.
func fieldValue(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || line[len(name)] != ':' {
		return nil, false
	}
	for i := range len(name) {
		if line[i]|0x20 != name[i] {
			return nil, false
		}
	}
	return bytes.Trim(line[len(name)+1:], " \t\r\n"), true
}

// wellFormed reports whether net/http accepts a head for which scanHead has found the end. It is
// stricter than net/http: a request whose head it rejects is only not run ahead.
func wellFormed(head []byte) bool {
	line, rest := cutLine(head)
	method, target, _ := bytes.Cut(line[:len(line)-len(versionEnd)], []byte(" "))
	if !all(method, isUpper) || len(target) == 0 || target[0] != '/' || !all(target, isVisible) {
		return false
	}
	hosts := 0
	for len(rest) > len("\r\n") {
		line, rest = cutLine(rest)
		name, value, ok := bytes.Cut(line[:len(line)-2], []byte(":"))
		if !ok || len(name) == 0 || !all(name, isName) || !all(value, isValue) {
			return false
		}
		if host, ok := fieldValue(line, "host"); ok {
			hosts++
			if len(host) == 0 || !all(host, isHost) {
				return false
			}
		}
	}
	return hosts == 1
}

func all(b []byte, ok func(byte) bool) bool {
	for _, c := range b {
		if !ok(c) {
			return false
		}
	}
	return true
}

func isUpper(c byte) bool   { return 'A' <= c && c <= 'Z' }
func isVisible(c byte) bool { return '!' <= c && c <= '~' }
func isValue(c byte) bool   { return c == '\t' || c >= ' ' && c != 0x7f }
func isName(c byte) bool {
	return isUpper(c) || 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-' || c == '_'
}
func isHost(c byte) bool { return isName(c) || c == '.' || c == ':' || c == '[' || c == ']' }
