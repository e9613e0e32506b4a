package strictjson

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// KindContent means that a document is not JSON, or that one of its values does not
// have the expected type.
const KindContent Kind = "unreadable JSON"

// Redact returns the error of decoding a document that may contain secrets, without
// any part of the document. The errors of encoding/json quote numbers, characters
// and unknown fields.
func Redact(err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	var tooLarge *http.MaxBytesError
	var own *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &own):
		return &Error{Op: own.Op, Kind: own.Kind}
	case errors.As(err, &syntax):
		err = errors.Errorf("not valid at byte %d", syntax.Offset)
	case errors.As(err, &wrongType):
		err = errors.Errorf("wrong type of %s at byte %d", wrongType.Field, wrongType.Offset)
	case errors.As(err, &tooLarge):
		err = errors.Errorf("over %d bytes", tooLarge.Limit)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		err = errors.New("cut short")
	default:
		err = errors.New("unknown field or value")
	}
	return &Error{Op: "decode", Kind: KindContent, Err: err}
}
