package stream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders lists the hop-by-hop headers. Upgrade is included because protocol upgrades
// are not supported: every call is one request and one response.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// StripHop removes the hop-by-hop headers, including those listed in the Connection
// header.
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
