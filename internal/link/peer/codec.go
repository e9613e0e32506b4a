package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
)

// maxFrameBytes is the maximum size of one message between processes.
const maxFrameBytes = 48 << 20

// frameCodec writes a 4-byte length and a JSON body. Unlike the library's codecs, it
// checks the length before it reads the body.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(wr io.Writer, obj any) error {
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
func (frameCodec) ReadObject(rd *bufio.Reader, obj any) error {
	var head [4]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrameBytes {
		return &Error{Op: "read frame", Kind: KindTooLarge}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(rd, body); err != nil {
		return err
	}
	return json.Unmarshal(body, obj)
}
