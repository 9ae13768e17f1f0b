package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"corianderspool.example/spool/pkg/spool"
)

// maxDepth bounds the nesting of a document.
const maxDepth = 16

// document is a JSON text on its way to a generic value.
type document struct {
	decoder *json.Decoder
	faults  spool.Faults
}

// parse reads the whole body and reports what encoding/json passes over: repeated fields and trailing data.
//
// With parsed true value holds the document, which may be nil.
func parse(body []byte) (value any, faults spool.Faults, parsed bool) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	document := &document{decoder: decoder}
	value, err := document.value("", 0)
	if err != nil {
		document.faults.Add("", fmt.Sprintf("invalid JSON near byte %d: %v", decoder.InputOffset(), err))
		return nil, document.faults, false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		document.faults.Add("", fmt.Sprintf("data after the document at byte %d", decoder.InputOffset()))
	}
	return value, document.faults, true
}

func (document *document) value(path string, depth int) (any, error) {
	token, err := document.decoder.Token()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("nesting is deeper than %d", maxDepth)
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return document.object(path, depth)
		}
		return document.array(path, depth)
	case json.Number:
		return document.number(path, token), nil
	default:
		return token, nil
	}
}

func (document *document) object(path string, depth int) (any, error) {
	fields := map[string]any{}
	for document.decoder.More() {
		token, err := document.decoder.Token()
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		name := token.(string)
		fieldPath := join(path, name)
		if _, found := fields[name]; found {
			document.faults.Add(fieldPath, "field is given twice")
		}
		value, err := document.value(fieldPath, depth+1)
		if err != nil {
			return nil, err
		}
		fields[name] = value
	}
	return fields, document.end()
}

func (document *document) array(path string, depth int) (any, error) {
	items := []any{}
	for document.decoder.More() {
		value, err := document.value(IndexPath(path, len(items)), depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, value)
	}
	return items, document.end()
}

// end reads the delimiter that closes an object or array.
func (document *document) end() error {
	_, err := document.decoder.Token()
	return unexpectedEnd(err)
}

// number returns a float64, because the schema's validator panics on a json.Number with a huge exponent.
func (document *document) number(path string, number json.Number) float64 {
	value, err := number.Float64()
	if err != nil {
		document.faults.Add(path, fmt.Sprintf("number %.20s is out of range", number))
		return 0
	}
	return value
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// IndexPath returns the path of an item of the array at path.
func IndexPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
