package caller

import (
	"net/http"
	"strconv"
	"strings"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// MaxHeaderBytes bounds the names and values of a request's header.
	MaxHeaderBytes = 32 << 10
	// maxKeyBytes bounds an idempotency key, because owners keep keys in memory.
	maxKeyBytes = 256
	// MaxDepth bounds the length of a chain of calls; the deepest known chain has 26.
	MaxDepth = 64
)

func bad(remedy string) *refusal.Refusal {
	return &refusal.Refusal{Kind: refusal.BadRequest, Run: refusal.NotRun, Remedy: remedy}
}

// check returns the refusal of a request that daemon and upstream could understand
// differently, or that claims what only daemons may say. own says that the caller holds
// an own-service certificate.
func check(r *http.Request, own bool) *refusal.Refusal {
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		refused := bad("use another method than " + r.Method)
		refused.Status = http.StatusMethodNotAllowed
		return refused
	}
	if !r.ProtoAtLeast(1, 1) {
		// The end of an answer without a length cannot be told from a cut in HTTP/1.0.
		return bad("use HTTP/1.1 or HTTP/2")
	}
	if refused := checkTarget(r); refused != nil {
		return refused
	}
	return checkHeader(r, own)
}

// checkTarget refuses targets that name the service twice and paths that a decoder on
// the way could read as another path.
func checkTarget(r *http.Request) *refusal.Refusal {
	if r.URL.Scheme != "" || r.URL.Host != "" {
		return bad("send the path alone as the request target, and the service as Host")
	}
	for _, host := range r.Header["Host"] {
		if host != r.Host {
			return bad("send one Host")
		}
	}
	path := r.URL.EscapedPath()
	if !strings.HasPrefix(path, "/") {
		return bad("start the path with /")
	}
	for i := range len(path) {
		switch c := path[i]; {
		case c <= ' ' || c == 0x7f || c == '\\':
			return bad("remove control characters and backslashes from the path")
		case c == '%' && i+2 < len(path) && ambiguous(path[i+1:i+3]):
			return bad("do not encode slashes, backslashes, dots or control characters in the path")
		}
	}
	if strings.Contains(path, "/./") || strings.Contains(path, "/../") || strings.HasSuffix(path, "/.") || strings.HasSuffix(path, "/..") {
		return bad("remove dot segments from the path")
	}
	return nil
}

// ambiguous reports whether the two hexadecimal digits encode a slash, a backslash, a
// dot or a control character.
func ambiguous(digits string) bool {
	n, err := strconv.ParseUint(digits, 16, 8)
	return err != nil || n == '/' || n == '\\' || n == '.' || n < ' ' || n == 0x7f
}

func checkHeader(r *http.Request, own bool) *refusal.Refusal {
	size := 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
		if reserved(name) && (!own || name != refusal.HeaderRemaining && name != refusal.HeaderDepth) {
			return bad("remove the header " + name + ", which only daemons may send")
		}
	}
	for name := range r.Trailer {
		if reserved(name) {
			return bad("remove the trailer " + name + ", which only daemons may send")
		}
	}
	if size > MaxHeaderBytes {
		return &refusal.Refusal{Kind: refusal.TooLarge, Run: refusal.NotRun, Remedy: "send at most 32 KB of headers"}
	}
	if keys := r.Header[refusal.HeaderKey]; len(keys) > 1 || len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes) {
		return bad("send one " + refusal.HeaderKey + " of 1 to 256 bytes")
	}
	if created := r.Header[refusal.HeaderCreated]; len(created) > 0 {
		if _, err := strconv.ParseUint(created[0], 10, 63); err != nil || len(created) > 1 {
			return bad("send one " + refusal.HeaderCreated + " in Unix milliseconds")
		}
	}
	return nil
}

// reserved reports whether the name belongs to the system. Some upstreams read an
// underscore as a hyphen.
func reserved(name string) bool {
	n := len(refusal.HeaderPrefix)
	return len(name) >= n && strings.EqualFold(name[:n-1], refusal.HeaderPrefix[:n-1]) && (name[n-1] == '-' || name[n-1] == '_')
}

// serviceOf returns the service that the Host names, without the port.
func serviceOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
