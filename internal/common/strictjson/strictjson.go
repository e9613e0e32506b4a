// Package strictjson decodes documents of exactly one JSON value. encoding/json's
// Decoder reads the first value of a stream and leaves what follows it unread.
//
// Usage:
//
//	dec := json.NewDecoder(req.Body)
//	dec.DisallowUnknownFields()
//	err := strictjson.Decode(dec, &into)
package strictjson

import (
	"encoding/json"
	"io"

	"greengageweir/internal/common/errkind"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Kind classifies the errors of this package.
type Kind string

// KindTrailing means that a value is followed by more than white space.
const KindTrailing Kind = "more than one JSON value"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Decode decodes the decoder's next value, which must be its last.
func Decode(dec *json.Decoder, into any) error {
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{Op: "decode", Kind: KindTrailing, Err: err}
	}
	return nil
}

// EchoSerializer is echo's serializer with Decode for request bodies.
type EchoSerializer struct{ echo.DefaultJSONSerializer }

// Deserialize implements echo.JSONSerializer.
func (EchoSerializer) Deserialize(ctx echo.Context, into any) error {
	return Decode(json.NewDecoder(ctx.Request().Body), into)
}
