package meshtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/mesh"
)

// Headers are the names that the stand-ins use.
var Headers = mesh.Headers{
	RequestID: "Test-Request", Remaining: "Test-Remaining-Ms", Proof: "Test-Proof", Expected: "Test-Expected", Instance: "Test-Instance",
	NotRun: "Test-Not-Run", Caller: "Test-Caller", Load: "Test-Load", Limit: "Test-Limit", Leaving: "Test-Leaving", Cold: "Test-Cold-Ms",
}

// Request is what an upstream saw.
type Request struct {
	Instance, Expected   model.InstanceID
	Method, Target, Host string
	ID, Caller           string
	Remaining            time.Duration
	Body                 []byte
	// At and Ended are the times at which its run began and ended; Ended is zero while it lasts.
	At, Ended time.Time
}

// Fault spoils one answer of an upstream.
type Fault uint8

// The faults.
const (
	// None answers as it should.
	None Fault = iota
	// Reset closes the connection without an answer, after running the request.
	Reset
	// Truncate breaks off in the middle of the body.
	Truncate
	// Garbage sends bytes that are no answer.
	Garbage
	// Double sends a second answer behind the first.
	Double
	// Foreign sends the answer of another request first.
	Foreign
	// Unframed sends a body without a length and closes the connection.
	Unframed
	// UnframedReset sends a part of a body without a length and resets the connection.
	UnframedReset
	// Early answers before it has read the body, and reads on.
	Early
	// Shed refuses the request as not run.
	Shed
	// Unproved answers without its mark.
	Unproved
	// Fail answers 500.
	Fail
	// Hang never answers.
	Hang
	// Crash ends the upstream while it runs the request; Restart starts it again.
	Crash
	// EndlessStatus, EndlessHeader, EndlessHeaders and EndlessInterims send a head without end,
	// EndlessChunks and EndlessBody a body, EnormousLength one that is announced as 9e18 bytes,
	// EndlessForeign answers to other requests, and EndlessTail bytes behind a whole answer.
	EndlessStatus
	EndlessHeader
	EndlessHeaders
	EndlessInterims
	EndlessChunks
	EndlessBody
	EnormousLength
	EndlessForeign
	EndlessTail
)

// Upstream is a stand-in for an application that speaks HTTP/1.1 on a raw connection.
type Upstream struct {
	// Size is the length of the answer's body.
	Size int

	headers  mesh.Headers
	slots    int
	listener net.Listener
	mu       sync.Mutex
	id       model.InstanceID
	work     func(r *Request) time.Duration
	fault    func(r *Request) Fault
	gate     func(r *Request) <-chan struct{}
	down     bool
	notices  []Notice
	pace     string
	crashes  []time.Time
	seen     []Request
	// coldUntil is the end of the cold phase that the health path reports; zero if it reports none.
	coldUntil time.Time
	health    []time.Time
	conns     map[net.Conn]bool
	running   int
	peak      int
	tasks     sync.WaitGroup
}

// NewUpstream starts an upstream on loopback that reports the slots as its own.
func NewUpstream(id model.InstanceID, slots int, work time.Duration) (*Upstream, error) {
	return NewUpstreamAt(Headers, "127.0.0.1:0", id, slots, work)
}

// NewUpstreamAt starts an upstream at an address that speaks with other header names.
func NewUpstreamAt(headers mesh.Headers, address string, id model.InstanceID, slots int, work time.Duration) (*Upstream, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u := &Upstream{headers: headers, id: id, slots: slots, work: always(work), Size: 400, listener: listener, conns: make(map[net.Conn]bool)}
	u.tasks.Go(func() { u.accept(listener) })
	return u, nil
}

// SetFault sets the function that chooses the fault of a request; nil for none. It is called
// for one request at a time.
func (u *Upstream) SetFault(fault func(r *Request) Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

// SetWork sets the time that a request takes.
func (u *Upstream) SetWork(work time.Duration) { u.SetWorkOf(always(work)) }

// SetWorkOf sets the function that tells the time that a request takes. It is called for one
// request at a time.
func (u *Upstream) SetWorkOf(work func(r *Request) time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = work
}

// SetGate sets the function that returns a channel whose end each request awaits in addition to its work; the
// channel may be nil.
func (u *Upstream) SetGate(gate func(r *Request) <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate = gate
}

// always returns a function that tells the same time for all requests.
func always(work time.Duration) func(*Request) time.Duration {
	return func(*Request) time.Duration { return work }
}

// Notice is what an upstream says in all answers for a time.
type Notice struct {
	Lines    []string // of the header
	Instance model.InstanceID
	// Told is the time of the first answer with it, Until the end of its time; zero if there is none
	// yet.
	Told, Until time.Time
}

// SetNotice adds header lines to all answers from now on, in place of those set before.
func (u *Upstream) SetNotice(lines ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beginNotice(lines)
}

// SetPace sets the text behind the slots in the load header of all answers, such as ",250".
func (u *Upstream) SetPace(text string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pace = text
}

// loadLine returns the load header for an answer.
func (u *Upstream) loadLine() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%s: 1,0,%d%s", u.headers.Load, u.slots, u.pace)
}

// beginNotice ends the notice and begins another one. The caller holds the mutex.
func (u *Upstream) beginNotice(lines []string) {
	if n := len(u.notices); n > 0 {
		u.notices[n-1].Until = time.Now()
	}
	u.notices = append(u.notices, Notice{Lines: lines, Instance: u.id})
}

// notice returns the header lines for an answer. The caller holds the mutex.
func (u *Upstream) notice() []string {
	n := len(u.notices)
	if n == 0 {
		return nil
	}
	last := &u.notices[n-1]
	if last.Told.IsZero() {
		last.Told = time.Now()
	}
	return last.Lines
}

// Notices returns all that it has said.
func (u *Upstream) Notices() []Notice {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Notice(nil), u.notices...)
}

// SetID makes the upstream another instance at the same address.
func (u *Upstream) SetID(id model.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id = id
	if n := len(u.notices); n > 0 {
		u.beginNotice(u.notices[n-1].Lines)
	}
}

// HealthPath is the health path of upstreams.
const HealthPath = "/health"

// SetCold makes the health path report a cold phase that ends after the time.
func (u *Upstream) SetCold(remaining time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldUntil = time.Now().Add(remaining)
}

// Health returns the times of the requests to the health path.
func (u *Upstream) Health() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.health...)
}

// answerHealth answers a request to the health path, without the header of a cold phase if none was set.
func (u *Upstream) answerHealth(c net.Conn, id string) {
	u.mu.Lock()
	u.health = append(u.health, time.Now())
	until := u.coldUntil
	u.mu.Unlock()
	if until.IsZero() {
		u.write(c, http.StatusOK, id, "")
		return
	}
	u.write(c, http.StatusOK, id, "", fmt.Sprintf("%s: %d", u.headers.Cold, max(0, time.Until(until).Milliseconds())))
}

// Connections returns the number of open connections.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// choose returns the present ID and the fault of a request.
func (u *Upstream) choose(r *Request) (model.InstanceID, Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.Instance = u.id
	if u.fault == nil || r.Expected != "" && r.Expected != u.id {
		return u.id, None
	}
	return u.id, u.fault(r)
}

// Addr returns the address.
func (u *Upstream) Addr() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listener.Addr().String()
}

// Seen returns the requests that it began to run.
func (u *Upstream) Seen() []Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Request(nil), u.seen...)
}

// Peak returns the highest number of requests that ran at once.
func (u *Upstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

// crash closes the listener and all connections.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.listener.Close()
	u.down = true
	u.crashes = append(u.crashes, time.Now())
	for c := range u.conns {
		_ = c.Close()
	}
}

// Crashes returns the times at which it crashed.
func (u *Upstream) Crashes() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.crashes...)
}

// Down reports whether the upstream has crashed.
func (u *Upstream) Down() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down
}

// Restart starts an upstream that has crashed at its old address.
func (u *Upstream) Restart() error {
	listener, err := net.Listen("tcp4", u.Addr())
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listener, u.down = listener, false
	u.tasks.Go(func() { u.accept(listener) })
	return nil
}

// Close stops it and closes all connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.tasks.Wait()
}

func (u *Upstream) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		u.tasks.Go(func() {
			u.serve(c)
			_ = c.Close()
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
		})
	}
}

// serve answers the requests of a connection one after the other.
func (u *Upstream) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.answer(c, r) {
			return
		}
	}
}

// answer reports whether the connection can be used again.
func (u *Upstream) answer(c net.Conn, r *http.Request) bool {
	ms, _ := strconv.Atoi(r.Header.Get(u.headers.Remaining)) // 0 shows a fault to the test
	seen := Request{
		Expected: model.InstanceID(r.Header.Get(u.headers.Expected)), Method: r.Method, Target: r.RequestURI, Host: r.Host, ID: r.Header.Get(u.headers.RequestID), Caller: r.Header.Get(u.headers.Caller),
		Remaining: time.Duration(ms) * time.Millisecond, At: time.Now(),
	}
	if r.Method == http.MethodGet && r.URL.Path == HealthPath {
		u.answerHealth(c, seen.ID)
		return true
	}
	id, fault := u.choose(&seen)
	if fault == Early {
		u.write(c, http.StatusOK, seen.ID, "early", u.headers.Proof+": p")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	switch {
	case seen.Expected != "" && seen.Expected != id:
		u.write(c, http.StatusMisdirectedRequest, seen.ID, "", u.headers.Instance+": "+string(id))
		return true
	case fault == Shed:
		u.write(c, http.StatusServiceUnavailable, seen.ID, "", u.headers.NotRun+": 1")
		return true
	}
	seen.Body = body
	u.run(seen)
	return u.reply(c, &seen, fault)
}

// run takes the time of a request.
func (u *Upstream) run(r Request) {
	u.mu.Lock()
	place := len(u.seen)
	u.seen = append(u.seen, r)
	u.running++
	u.peak = max(u.peak, u.running)
	work := u.work(&r)
	var gate <-chan struct{}
	if u.gate != nil {
		gate = u.gate(&r)
	}
	u.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if work > 0 {
		time.Sleep(work)
	}
	u.mu.Lock()
	u.running--
	u.seen[place].Ended = time.Now()
	u.mu.Unlock()
}

// Body returns the body of the answer to a request.
func Body(id string, size int) string {
	text := "answer to " + id + "\n"
	return text + strings.Repeat(".", max(0, size-len(text)))
}

func (u *Upstream) reply(c net.Conn, r *Request, fault Fault) bool {
	proof := u.headers.Proof + ": p"
	body := Body(r.ID, u.Size)
	if first, again := u.endless(r, fault); again != "" {
		u.writeEndless(c, first, again)
		return false
	}
	switch fault {
	case Early:
		return true
	case Reset:
		return false
	case Crash:
		u.crash()
		return false
	case Hang:
		_, _ = io.Copy(io.Discard, c) // until the other side closes
		return false
	case Truncate:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", u.headers.RequestID, r.ID, proof, len(body), body[:len(body)/2])
		return false
	case Garbage:
		_, _ = io.WriteString(c, "\x00\x01\x02 not an answer\r\n\r\n")
		return false
	case Unframed, UnframedReset:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nConnection: close\r\n\r\n", u.headers.RequestID, r.ID, proof)
		return u.unframed(c, body, fault)
	case Unproved:
		u.write(c, http.StatusOK, r.ID, body)
		return true
	case Fail:
		u.write(c, http.StatusInternalServerError, r.ID, "failed", proof)
		return true
	case Foreign:
		u.write(c, http.StatusOK, "other", Body("other", u.Size), proof)
	}
	u.write(c, http.StatusOK, r.ID, body, proof, u.loadLine())
	if fault == Double {
		u.write(c, http.StatusOK, r.ID, body, proof)
	}
	return true
}

// unframed sends a body that ends with its connection, cleanly or not.
func (u *Upstream) unframed(c net.Conn, body string, fault Fault) bool {
	if fault == Unframed {
		_, _ = io.WriteString(c, body)
		return false
	}
	_, _ = io.WriteString(c, body[:len(body)/2])
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

func (u *Upstream) write(c net.Conn, status int, id, body string, headers ...string) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), u.headers.RequestID, id, len(body))
	u.mu.Lock()
	headers = append(headers, u.notice()...)
	u.mu.Unlock()
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, _ = io.WriteString(c, text+"\r\n"+body)
}
