package exchange

import (
	"errors"
	"io"
	"net/http"
)

// read returns the answer to the request; began says that a part of it arrived.
func (x *transfer) read() (resp *Response, began bool, err error) {
	for range maxForeign {
		head, some, err := x.readHead()
		if err != nil {
			return nil, some, err
		}
		if x.request.Answering != nil {
			x.request.Answering()
		}
		if err := x.unusable(head); err != nil {
			x.closeBody(head, err)
			return nil, true, err
		}
		if x.foreign(head) {
			if err := x.skipBody(head); err != nil {
				return nil, true, err
			}
			if head.Close {
				return nil, false, errClosing
			}
			continue
		}
		body, held, err := x.readBody(head)
		if err != nil {
			return nil, true, err
		}
		x.endsWithConn = !framed(head) && head.Body != http.NoBody
		x.conn.lifetime = parseKeepAlive(head.Header.Get("Keep-Alive"))
		x.reusable = !head.Close && framed(head) && x.conn.reader.Buffered() == 0
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body, held: held}, true, nil
	}
	return nil, true, errForeign
}

// framed reports whether the end of the answer is known without the end of the connection.
func framed(head *http.Response) bool {
	return head.ContentLength >= 0 || len(head.TransferEncoding) > 0
}

// validStatus reports whether HTTP defines the class of a status. A status below 100 is no interim one.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status < 600
}

// unusable returns an error if an answer cannot be that to any request: it names none, although answers
// repeat the ID of their request, or it leaves the protocol.
func (x *transfer) unusable(head *http.Response) error {
	name := x.client.cfg.RequestID
	switch {
	case head.StatusCode == http.StatusSwitchingProtocols:
		return errSwitch
	case name != "" && x.request.ID != "" && head.Header.Get(name) == "":
		return errUnnamed
	}
	return nil
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
		if !validStatus(resp.StatusCode) {
			x.closeBody(resp, errStatus)
			return nil, true, errStatus
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, true, nil
		}
	}
	return nil, true, errInterim
}
