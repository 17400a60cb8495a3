package exchange

import (
	"errors"
	"io"
	"net/http"
)

// read returns the answer to the request; began says that a part of it arrived.
func (x *transfer) read() (resp *Response, began bool, err error) {
	for range maxForeign {
		head, some, err := x.readHead() //nolint:bodyclose // readBody closes it
		if err != nil {
			return nil, some, err
		}
		began = true
		if x.request.Answering != nil {
			x.request.Answering()
		}
		body, err := x.readBody(head)
		if err != nil {
			return nil, began, err
		}
		if x.foreign(head) {
			if head.Close {
				return nil, false, errClosing
			}
			began = false
			continue
		}
		x.conn.lifetime = parseKeepAlive(head.Header.Get("Keep-Alive"))
		x.reusable = !head.Close && framed(head) && x.conn.reader.Buffered() == 0
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, true, nil
	}
	return nil, true, errForeign
}

// framed reports whether the end of the answer is known without the end of the connection.
func framed(head *http.Response) bool {
	return head.ContentLength >= 0 || len(head.TransferEncoding) > 0
}

// foreign reports whether an answer names another request.
func (x *transfer) foreign(head *http.Response) bool {
	if x.client.cfg.RequestID == "" {
		return false
	}
	id := head.Header.Get(x.client.cfg.RequestID)
	return id != "" && id != x.request.ID
}

// readHead reads the header of the next final answer; some says that bytes of it have arrived.
func (x *transfer) readHead() (head *http.Response, some bool, err error) {
	if resp := x.refused; resp != nil {
		x.refused = nil
		resp.Close = true
		return resp, true, nil
	}
	source, buffered := x.conn.source, x.conn.reader.Buffered() > 0
	source.BoundHead()
	defer source.Unbound()
	for range maxInterim {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, buffered || source.taken > 0, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, true, nil
		}
	}
	return nil, true, errInterim
}

// readBody reads the body of an answer.
func (x *transfer) readBody(head *http.Response) (body []byte, err error) {
	defer func() {
		if err != nil {
			// Close reads the rest of a body, which may have no end.
			_ = x.conn.SetDeadline(past)
		}
		_ = head.Body.Close()
	}()
	limit := x.client.cfg.MaxAnswer
	if head.ContentLength > limit {
		return nil, bodyError(limit)
	}
	if head.ContentLength > 0 {
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(head.Body, body)
		return body, err
	}
	body, err = io.ReadAll(io.LimitReader(head.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = bodyError(limit)
	}
	return body, err
}
