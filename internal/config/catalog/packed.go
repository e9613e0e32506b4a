package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// KindPacked means that a configuration cannot be packed or unpacked.
const KindPacked Kind = "packed configuration is unreadable"

// maxUnpacked limits the size of an unpacked configuration. Some thousand queues
// take one megabyte.
const maxUnpacked = 64 << 20

// Packed is a compressed configuration, as it is stored in the log and sent
// between processes. With 1,650 queues it has a thirtieth of the text's size;
// replicating the text to four members would delay the leader's heartbeats.
type Packed struct {
	Version int64  `json:"version"`
	Data    []byte `json:"data"`
}

// Pack compresses the configuration.
func (ct Catalog) Pack() (*Packed, error) {
	var buf bytes.Buffer
	wr, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, &Error{Op: "pack", Kind: KindPacked, Err: err}
	}
	// The document follows the JSON instead of being a field in it: as base64 the
	// compressor could not exploit that both have the same content.
	document := ct.Document
	ct.Document = nil
	if err := json.NewEncoder(wr).Encode(ct); err != nil {
		return nil, &Error{Op: "pack", Kind: KindPacked, Err: err}
	}
	if _, err := wr.Write(document); err != nil {
		return nil, &Error{Op: "pack", Kind: KindPacked, Err: err}
	}
	if err := wr.Close(); err != nil {
		return nil, &Error{Op: "pack", Kind: KindPacked, Err: err}
	}
	return &Packed{Version: ct.Version, Data: buf.Bytes()}, nil
}

// Unpack decompresses the configuration.
func (pk Packed) Unpack() (Catalog, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(pk.Data)), maxUnpacked))
	if err != nil {
		return Catalog{}, &Error{Op: "unpack", Kind: KindPacked, Err: err}
	}
	head, document, _ := bytes.Cut(text, []byte("\n"))
	var ct Catalog
	if err := json.Unmarshal(head, &ct); err != nil {
		return Catalog{}, &Error{Op: "unpack", Kind: KindPacked, Err: err}
	}
	if len(document) > 0 {
		ct.Document = document
	}
	return ct, nil
}
