package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// inlineBody is the size in bytes up to which a body is written before the answer is read.
	// A longer one is written beside, because a peer may answer before it has read it.
	inlineBody = 16 << 10
	// maxForeign bounds the answers to other requests that are skipped on a connection.
	maxForeign = 4
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
)

// The errors of exchanges.
var (
	// ErrTooMany says that all connections to the address are in use.
	ErrTooMany = errors.New("all connections to the address are in use")
	// ErrAbandoned says that Request.Abandoned was true before the request was sent.
	ErrAbandoned = errors.New("the request was abandoned before it was sent")

	errClosing = errors.New("the connection ends with the answer to another request")
	errUnnamed = errors.New("the answer does not name its request; let the peer repeat the request's ID")
	errSwitch  = errors.New("the peer switches protocols, which nobody asked for; let it answer in HTTP/1.1")
	errStatus  = errors.New("the status of the answer is not between 100 and 599")
	errCut     = errors.New("the connection ended before the request was written; let the peer read the request, or announce the length of its answer")
)

// Request is one request. The body is held in memory, so that it can be sent again.
type Request struct {
	Address string // TCP host:port of the peer
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// HasBody says that the request has a body, even an empty one.
	HasBody bool
	// ID is the value of the header Config.RequestID.
	ID string
	// MaxIdle is the age of the oldest idle connection that may carry the request; 0 takes
	// that of the Config, and a negative one a new connection.
	MaxIdle time.Duration
	// Confirm sends the body only when the peer has asked for it, so that one that refuses the
	// request does not cost its bytes, and one that breaks before cannot have run it.
	Confirm bool
	// Abandoned reports whether the answer is of no use any more; it is asked right before the
	// first byte is sent and, with Confirm, before the body is. It may be nil.
	Abandoned func() bool
	// Answering is called when the head of the answer has arrived; it may be nil.
	Answering func()
}

// Response is a whole answer. Release it when the body is not needed any more.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused says that the request went over a connection that had served others.
	Reused bool
	held   *share
}

// Release gives the bytes of the body back to the budget of the client. It may be called more than
// once, and without an answer.
func (r *Response) Release() {
	if r != nil && r.held != nil {
		r.held.release()
	}
}

// Error is a request without a whole answer.
type Error struct {
	// Sent says that a byte of the request may have reached the peer; with Request.Confirm,
	// a byte of its body.
	Sent bool
	// Reused says that the connection had served other requests before.
	Reused bool
	// Began says that a part of an answer arrived.
	Began bool
	Err   error
}

// Error says how far the exchange came.
func (e *Error) Error() string {
	stage := "not sent"
	if e.Began {
		stage = "answer not whole"
	} else if e.Sent {
		stage = "sent, no answer"
	}
	return fmt.Sprintf("%s: %v", stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends the request and returns the whole answer. The context's end closes the connection.
// The error is an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	maxIdle := r.MaxIdle
	if maxIdle == 0 {
		maxIdle = c.cfg.MaxIdle
	}
	var i *conn
	if maxIdle > 0 {
		i = c.take(time.Now(), r.Address, maxIdle)
	}
	if i == nil {
		var err error
		if i, err = c.connect(ctx, r.Address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	x := &transfer{client: c, conn: i, request: r}
	resp, err := x.run(ctx)
	if err != nil {
		c.discard(r.Address, i)
		return nil, err
	}
	if x.reusable {
		c.put(time.Now(), r.Address, i)
	} else {
		c.discard(r.Address, i)
	}
	return resp, nil
}

// wrap makes a conn of a dialled connection.
func wrap(c net.Conn, err error) (*conn, error) {
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// transfer is one request on its connection.
type transfer struct {
	client   *Client
	conn     *conn
	request  *Request
	reusable bool
	// endsWithConn is set if only the end of the connection shows where the answer ends.
	endsWithConn bool
	// refused is the final answer of a peer that did not ask for the body; held says that the
	// peer has not got the body.
	refused *http.Response
	held    bool
}

// past makes pending reads and writes fail.
var past = time.Unix(1, 0)

func (x *transfer) run(ctx context.Context) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	if x.request.Abandoned != nil && x.request.Abandoned() {
		return nil, &Error{Err: ErrAbandoned}
	}
	if err := x.conn.SetDeadline(time.Time{}); err != nil {
		return nil, &Error{Reused: x.conn.used, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = x.conn.SetDeadline(past) })
	defer stop()
	written, join := x.write()
	if x.held && x.refused == nil {
		return nil, &Error{Reused: x.conn.used, Err: <-written}
	}
	resp, began, err := x.read()
	if err == nil && x.endsWithConn {
		err = x.checkWritten(written, join)
		if err != nil {
			resp.Release()
		}
	}
	if err == nil {
		// A whole answer counts, also if the context has ended since. The rest of a body that was answered early is not sent.
		select {
		case writeErr := <-written:
			x.reusable = x.reusable && writeErr == nil
		default:
			x.reusable = false
			_ = x.conn.SetWriteDeadline(past)
		}
		join()
		if !stop() {
			x.reusable = false
		}
		resp.Reused = x.conn.used
		return resp, nil
	}
	_ = x.conn.SetDeadline(past)
	join()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Error{Sent: !x.held, Reused: x.conn.used, Began: began, Err: err}
}

// checkWritten returns an error unless the whole request was written before the end of the connection
// that ends the answer. If the peer resets the connection during a write, the write gets the error, and
// the read sees an ordinary end.
func (x *transfer) checkWritten(written chan error, join func()) error {
	_ = x.conn.SetWriteDeadline(past)
	join()
	err := <-written
	written <- err
	if err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	return nil
}

// write sends the request. Its error arrives on the channel; join waits for the writer.
func (x *transfer) write() (chan error, func()) {
	done := make(chan error, 1)
	head, body := x.head(), x.request.Body
	if x.request.Confirm {
		x.held = len(body) > 0
		err := x.confirm(head)
		if err == nil && x.refused == nil && x.request.Abandoned != nil && x.request.Abandoned() {
			err = ErrAbandoned
		}
		if err != nil || x.refused != nil {
			done <- err
			return done, func() {}
		}
		x.held, head = false, nil
	}
	if len(body) <= inlineBody {
		_, err := x.conn.Write(append(head, body...))
		done <- err
		return done, func() {}
	}
	var group sync.WaitGroup
	group.Go(func() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(x.conn.Conn)
		done <- err
	})
	return done, group.Wait
}

// confirm sends the head and waits until the peer asks for the body or answers.
func (x *transfer) confirm(head []byte) error {
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	x.conn.source.BoundHead()
	defer x.conn.source.Unbound()
	for range maxInterim {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return err
		}
		if !validStatus(resp.StatusCode) {
			x.closeBody(resp, errStatus)
			return errStatus
		}
		if resp.StatusCode >= http.StatusOK {
			x.refused = resp // readBody closes it
			return nil
		}
		_ = resp.Body.Close() // an interim answer has none
		if resp.StatusCode == http.StatusContinue {
			return nil
		}
	}
	return errInterim
}

// head returns the request line and the header.
func (x *transfer) head() []byte {
	r := x.request
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)*boolInt(len(r.Body) <= inlineBody)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if r.Confirm {
		b.WriteString("Expect: 100-continue\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns the headers without those that concern one connection only.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
