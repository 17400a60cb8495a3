package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/model"
)

const (
	// readBufferBytes holds the small frames of a control link; larger ones bypass it.
	readBufferBytes = 256
	// directFrameBytes is the largest frame whose memory is allocated on the strength of
	// its length prefix; memory of larger ones grows with the bytes that arrive.
	directFrameBytes = 64 << 10
	// maxHelloBytes bounds the first frame of each side.
	maxHelloBytes = 512
)

// frameError reports bytes that are no frame.
type frameError struct{ reason string }

func (e *frameError) Error() string { return e.reason }

// appendFrame appends a length prefix and a frame. An unsigned varint takes one byte for
// frames of up to 127 bytes, where QUIC's own varint takes two from 64 bytes on.
func appendFrame(to, data []byte) []byte {
	return append(binary.AppendUvarint(to, uint64(len(data))), data...)
}

// readFrame reads one frame of at most limit bytes. It returns io.EOF at the end of the
// stream and a *frameError for bytes that are no frame.
func readFrame(r *bufio.Reader, limit uint64) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, &frameError{"truncated length"}
	case err != nil && err.Error() == "binary: varint overflows a 64-bit integer":
		return nil, &frameError{"length overflows"}
	case err != nil:
		return nil, err
	case size == 0:
		return nil, &frameError{"empty frame"}
	case size > limit:
		return nil, &frameError{fmt.Sprintf("frame of %d bytes, at most %d are allowed", size, limit)}
	}
	var data []byte
	if size <= directFrameBytes {
		data = make([]byte, size)
		_, err = io.ReadFull(r, data)
	} else {
		var buffer bytes.Buffer
		_, err = io.CopyN(&buffer, r, int64(size))
		data = buffer.Bytes()
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &frameError{"truncated frame"}
	}
	return data, err
}

// hello is the first frame of each side.
type hello struct {
	_ struct{} `cbor:",toarray"`
	// Nonce is drawn at the start of the daemon, so that a restart is recognised.
	Nonce uint64
	// Sequence rises with every hello of the daemon.
	Sequence uint64
	// Region and DataCentre are the sender's place.
	Region     string
	DataCentre string
}

func (h hello) place() model.Place { return model.Place{Region: h.Region, DataCentre: h.DataCentre} }

// helloDecoding refuses trailing and duplicate data.
var helloDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// newHello returns the frame that this daemon sends now, with its length prefix.
func (t *Transport) newHello() ([]byte, error) {
	data, err := cbor.Marshal(hello{
		Nonce: t.nonce, Sequence: t.sequence.Add(1),
		Region: t.cfg.Self.Place.Region, DataCentre: t.cfg.Self.Place.DataCentre,
	})
	return appendFrame(nil, data), err
}

// readHello reads the first frame of the peer.
func readHello(r *bufio.Reader) (hello, error) {
	var h hello
	data, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return h, err
	}
	if err := helloDecoding.Unmarshal(data, &h); err != nil {
		return h, &frameError{"hello: " + err.Error()}
	}
	return h, nil
}
