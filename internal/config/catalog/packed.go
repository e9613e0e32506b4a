package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// KindPacked says that a packed configuration cannot be read.
const KindPacked Kind = "packed configuration is unreadable"

// maxUnpacked bounds a configuration: some thousands of queues take a
// megabyte.
const maxUnpacked = 64 << 20

// Packed is a configuration as it goes through the log and between processes.
// With 1,650 queues it is a thirtieth of its text: a log that carried the text
// to four members would keep its leader from its heartbeats.
type Packed struct {
	Version int64  `json:"version"`
	Data    []byte `json:"data"`
}

// Pack returns the configuration in its packed form.
func (ct Catalog) Pack() (*Packed, error) {
	var buf bytes.Buffer
	wr, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, &Error{Op: "pack", Kind: KindPacked, Err: err}
	}
	// The document goes beside the rest, since JSON would hide from the
	// compressor that both say the same.
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

// Unpack returns the configuration.
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
