package stream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only. Upgrade is among them: a call is one request
// and one answer.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// StripHop removes the headers that concern one connection only, those that Connection
// names included.
func StripHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
