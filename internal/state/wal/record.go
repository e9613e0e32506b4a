package wal

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"

	"greengageweir/internal/state/replica"

	"github.com/pkg/errors"
)

const (
	// headerBytes is the size of a record's header: its length and checksum.
	headerBytes = 8
	// maxRecordBytes bounds the size of one record.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one record of the log file. One of its fields is set.
type record struct {
	Hard  *replica.HardState `json:"hard,omitempty"`
	Entry *replica.Entry     `json:"entry,omitempty"`
	// Commit is the commit index.
	Commit uint64 `json:"commit,omitempty"`
}

// errTorn means that a record is incomplete or its checksum is wrong.
var errTorn = errors.New("torn record")

// appendRecord appends the encoded record to buf: length, CRC-32C checksum (both
// 32-bit little-endian), JSON body.
func appendRecord(buf []byte, rec any) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, err
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(body, castagnoli))
	return append(buf, body...), nil
}

// readRecord reads the body of the next record. It returns io.EOF at the end of
// the file, and errTorn if the record is incomplete or its checksum is wrong.
func readRecord(rd *bufio.Reader) ([]byte, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, errTorn
	}
	size := binary.LittleEndian.Uint32(head[:4])
	if size == 0 || size > maxRecordBytes {
		return nil, errTorn
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(rd, body); err != nil {
		return nil, errTorn
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, errTorn
	}
	return body, nil
}
