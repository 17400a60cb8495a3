package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"mangoshed.example/mangoshed/pkg/stream"
)

// peekedBody is a request body whose start was read already.
type peekedBody struct {
	rest *bytes.Reader
	io.ReadCloser
	whole bool // nothing follows the start
}

// Read reads the start first.
func (b *peekedBody) Read(p []byte) (int, error) {
	if b.rest.Len() > 0 || b.whole {
		return b.rest.Read(p)
	}
	return b.ReadCloser.Read(p)
}

// upload passes a body on through a pipe. net/http waits for a read of the body before it
// returns an error; the end of the call closes the pipe, but cannot end a read of the caller's
// connection. A sender that is idle for too long ends the call.
func upload(ctx context.Context, body io.ReadCloser, idle time.Duration, cancel context.CancelFunc) io.ReadCloser {
	reader, writer := io.Pipe()
	watch := stream.NewWatch(idle, cancel)
	stop := context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	go func() {
		_, err := io.Copy(writer, &touchingReader{body, watch})
		watch.Stop()
		stop()
		_ = writer.CloseWithError(err)
		_ = body.Close()
	}()
	return reader
}

// touchingReader restarts the idle time at every read.
type touchingReader struct {
	io.Reader
	watch *stream.Watch
}

// Read implements io.Reader.
func (r *touchingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.watch.Touch()
	return n, err
}

// answerBody frees the slot when the answer was read to its end, is closed, or is not read for
// the idle time.
type answerBody struct {
	inner   io.ReadCloser
	attempt *attempt
	watch   *stream.Watch
	once    sync.Once
}

func newAnswerBody(a *attempt, resp *http.Response) io.ReadCloser {
	b := &answerBody{inner: resp.Body, attempt: a}
	if resp.Body == http.NoBody {
		b.finish(true)
		return http.NoBody
	}
	b.watch = stream.NewWatch(a.guard.cfg.Idle, func() { b.finish(false) })
	return b
}

func (b *answerBody) finish(completed bool) {
	b.once.Do(func() {
		if b.watch != nil {
			b.watch.Stop()
		}
		b.attempt.finish(completed)
	})
}

// Read reads from the upstream.
func (b *answerBody) Read(p []byte) (int, error) {
	b.watch.Touch()
	n, err := b.inner.Read(p)
	b.watch.Touch()
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			b.attempt.guard.suspectCrash()
		}
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the call. The connection is not used again unless the answer was read to its end.
func (b *answerBody) Close() error {
	b.finish(false)
	return b.inner.Close()
}
