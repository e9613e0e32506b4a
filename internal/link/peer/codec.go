package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
)

// maxFrameBytes is the maximum size of one message between processes.
const (
	maxFrameBytes = 48 << 20
	// maxHelloBytes is the maximum size of a message before the handshake is done. Any
	// client that reaches the port can send it.
	maxHelloBytes = 4 << 10
	// frameStep is the first size of the buffer for a frame, which grows as bytes
	// arrive: an announced length alone reserves no memory.
	frameStep = 64 << 10
)

// frameCodec writes a 4-byte length and a JSON body. Unlike the library's codecs, it
// checks the length before it reads the body.
type frameCodec struct {
	// maxRead is the maximum size of a received frame. It is used and changed only
	// on the goroutine that reads.
	maxRead uint32
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (*frameCodec) WriteObject(wr io.Writer, obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return &Error{Op: "write frame", Kind: KindTooLarge}
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = wr.Write(append(frame, body...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (fc *frameCodec) ReadObject(rd *bufio.Reader, obj any) error {
	var head [4]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > fc.maxRead {
		return &Error{Op: "read frame", Kind: KindTooLarge}
	}
	body, err := readFrame(rd, int(size))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, obj)
}

// readFrame reads size bytes.
func readFrame(rd io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, frameStep))
	for have := 0; ; {
		if _, err := io.ReadFull(rd, body[have:]); err != nil {
			return nil, err
		}
		if have = len(body); have == size {
			return body, nil
		}
		body = append(make([]byte, 0, min(2*have, size)), body...)
		body = body[:cap(body)]
	}
}
