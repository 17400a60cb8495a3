package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// serviceTime is how long the application works on a request.
	serviceTime = 2 * time.Millisecond
	// listingBytes is the size of the answer to a read.
	listingBytes = 4 << 10
	// maxUploadBytes bounds the body of an upload.
	maxUploadBytes = 8 << 20

	pathListing = "/listing"
	pathClaim   = "/claim"
	pathUpload  = "/upload"
	// headerChecksum carries the SHA-256 of a complete answer, so that a caller can tell
	// a complete answer from a part of it.
	headerChecksum = "Content-Checksum"
)

// ledger counts how often the applications of a deployment ran each keyed request.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func newLedger() *ledger { return &ledger{runs: make(map[string]int)} }

func (l *ledger) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

// count returns how often the request with the key ran.
func (l *ledger) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// doubled returns the number of keys that ran more than once.
func (l *ledger) doubled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// application is the upstream process of one instance.
type application struct {
	instance string
	ledger   *ledger
	server   *http.Server
	listener net.Listener
	listing  []byte
}

// startApplication serves an instance's application on loopback.
func startApplication(instance string, l *ledger) (*application, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &application{instance: instance, ledger: l, listener: listener, listing: make([]byte, listingBytes)}
	for i := range a.listing {
		a.listing[i] = byte('a' + i%26)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathListing, a.serveListing)
	mux.HandleFunc("POST "+pathClaim, a.serveClaim)
	mux.HandleFunc("POST "+pathUpload, a.serveUpload)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

func (a *application) address() string { return a.listener.Addr().String() }

func (a *application) close() { _ = a.server.Close() }

// work waits for the service time or the end of the request; it reports whether the
// request is still wanted.
func work(r *http.Request) bool {
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (a *application) serveListing(w http.ResponseWriter, r *http.Request) {
	if work(r) {
		writeWithChecksum(w, a.listing)
	}
}

// serveClaim books the key before it works, so that a request that is cut counts as run.
func (a *application) serveClaim(w http.ResponseWriter, r *http.Request) {
	a.ledger.add(r.Header.Get(refusal.HeaderKey))
	if work(r) {
		writeWithChecksum(w, []byte("claimed by "+a.instance))
	}
}

// serveUpload answers with the checksum of the body that it received.
func (a *application) serveUpload(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, http.MaxBytesReader(w, r.Body, maxUploadBytes)); err != nil {
		http.Error(w, "the body is incomplete; send it again", http.StatusBadRequest)
		return
	}
	writeWithChecksum(w, []byte(hex.EncodeToString(hash.Sum(nil))))
}

func writeWithChecksum(w http.ResponseWriter, answer []byte) {
	sum := sha256.Sum256(answer)
	w.Header().Set(headerChecksum, hex.EncodeToString(sum[:]))
	_, _ = w.Write(answer)
}
