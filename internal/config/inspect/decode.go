package inspect

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/strictjson"
	"greengageweir/internal/contract/jobhttp"
)

// maxDocument is the limit of the jobs listener on a body.
const maxDocument = 8 << 20

// decode reads the document. It reports false if a part of it is unreadable, since the
// rules would then find faults that result from the missing part.
func (rp *report) decode(text []byte) (jobhttp.Catalog, bool) {
	var ct jobhttp.Catalog
	var value json.RawMessage // any number is valid so far
	err := strictjson.Decode(json.NewDecoder(bytes.NewReader(text)), &value)
	switch {
	case err != nil:
		rp.fail(wholeDocument, "%v", strictjson.Redact(err))
		return ct, false
	case !utf8.Valid(text):
		rp.fail(wholeDocument, "is not valid UTF-8")
		return ct, false
	case len(text) > maxDocument:
		rp.fail(wholeDocument, "has %d bytes, at most %d", len(text), maxDocument)
		return ct, false
	case !admit.CheckJSON(text):
		rp.fail(wholeDocument, "is nested more deeply or has more values than a process accepts by default")
		return ct, false
	}
	if !rp.checkShape("", text, reflect.TypeOf(ct)) {
		return ct, false
	}
	if err := json.Unmarshal(text, &ct); err != nil {
		rp.fail(wholeDocument, "%v", strictjson.Redact(err))
		return ct, false
	}
	return ct, true
}

// checkShape adds a finding for each value that does not have the type that the
// processes expect at its place, and for each unknown or repeated field. It reports
// whether all values have their types. No finding contains an unexpected name or
// value: a key may have slipped to a wrong place.
func (rp *report) checkShape(path string, text []byte, typ reflect.Type) bool {
	text = bytes.TrimSpace(text)
	if string(text) == "null" {
		return true // the decoder takes it as a missing value
	}
	at := path
	if at == "" {
		at = wholeDocument
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return rp.checkShape(path, text, typ.Elem())
	case reflect.Struct:
		if text[0] != '{' {
			rp.fail(at, "must be an object")
			return false
		}
		return rp.checkFields(path, at, text, typ)
	case reflect.Slice:
		var elements []json.RawMessage
		if err := json.Unmarshal(text, &elements); err != nil {
			rp.fail(at, "must be a list")
			return false
		}
		ok := true
		for ix, element := range elements {
			ok = rp.checkShape(fmt.Sprintf("%s[%d]", path, ix), element, typ.Elem()) && ok
		}
		return ok
	}
	if json.Unmarshal(text, reflect.New(typ).Interface()) != nil {
		rp.fail(at, "must be %s", describe(typ.Kind()))
		return false
	}
	return true
}

func describe(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number in the range of float64"
	}
	return "a whole number in the range of 64 bits"
}

func (rp *report) checkFields(path, at string, text []byte, typ reflect.Type) bool {
	fields, names := fieldsOf(typ)
	dec := json.NewDecoder(bytes.NewReader(text))
	_, _ = dec.Token() // the opening brace; the text is valid JSON
	ok, seen := true, map[string]bool{}
	for number := 1; dec.More(); number++ {
		var value json.RawMessage
		token, _ := dec.Token()
		_ = dec.Decode(&value)
		given, _ := token.(string)
		// The decoder ignores the case of names.
		known := slices.IndexFunc(names, func(name string) bool { return strings.EqualFold(name, given) })
		if known < 0 {
			rp.fail(at, "field %d of this object is unknown, known are %s", number, strings.Join(names, ", "))
			continue
		}
		name := names[known]
		inner := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			rp.warn(inner, "is given twice in this object")
		}
		seen[name] = true
		ok = rp.checkShape(inner, value, fields[known].Type) && ok
	}
	return ok
}

// fieldsOf returns the fields of a struct type and their names in JSON.
func fieldsOf(typ reflect.Type) ([]reflect.StructField, []string) {
	fields := reflect.VisibleFields(typ)
	names := make([]string, len(fields))
	for ix, field := range fields {
		names[ix], _, _ = strings.Cut(field.Tag.Get("json"), ",")
	}
	return fields, names
}
