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
	// headerBytes is the size of a record's length and checksum.
	headerBytes = 8
	// maxRecordBytes bounds one record.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one line of the log file: either a hard state or an entry.
type record struct {
	Hard  *replica.HardState `json:"hard,omitempty"`
	Entry *replica.Entry     `json:"entry,omitempty"`
	// Commit says that the entries up to an index are committed.
	Commit uint64 `json:"commit,omitempty"`
}

// errTorn marks a record that was not written to its end.
var errTorn = errors.New("torn record")

// appendRecord appends the encoded record to buf.
func appendRecord(buf []byte, rec any) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, err
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(body, castagnoli))
	return append(buf, body...), nil
}

// readRecord reads one record's body. It returns io.EOF at a clean end and
// errTorn where the record is cut short or its checksum is wrong.
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
