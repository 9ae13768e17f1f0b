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

// maxDepth limits the nesting of a document.
const maxDepth = 16

// parser decodes a JSON document into generic values and collects faults.
type parser struct {
	decoder *json.Decoder
	faults  spool.Faults
}

// parseDocument decodes body and reports faults that encoding/json ignores: duplicate fields and trailing data.
//
// If parsed is true, value is the document, which is nil for JSON null.
func parseDocument(body []byte) (value any, faults spool.Faults, parsed bool) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	parser := &parser{decoder: decoder}
	value, err := parser.readValue("", 0)
	if err != nil {
		parser.faults.Add("", fmt.Sprintf("invalid JSON near byte %d: %v", decoder.InputOffset(), err))
		return nil, parser.faults, false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		parser.faults.Add("", fmt.Sprintf("data after the document at byte %d", decoder.InputOffset()))
	}
	return value, parser.faults, true
}

func (parser *parser) readValue(path string, depth int) (any, error) {
	token, err := parser.decoder.Token()
	if err != nil {
		return nil, asUnexpectedEOF(err)
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("nesting is deeper than %d", maxDepth)
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return parser.readObject(path, depth)
		}
		return parser.readArray(path, depth)
	case json.Number:
		return parser.convertNumber(path, token), nil
	default:
		return token, nil
	}
}

func (parser *parser) readObject(path string, depth int) (any, error) {
	fields := map[string]any{}
	for parser.decoder.More() {
		token, err := parser.decoder.Token()
		if err != nil {
			return nil, asUnexpectedEOF(err)
		}
		name := token.(string)
		fieldPath := joinPath(path, name)
		if _, found := fields[name]; found {
			parser.faults.Add(fieldPath, "field is given twice")
		}
		value, err := parser.readValue(fieldPath, depth+1)
		if err != nil {
			return nil, err
		}
		fields[name] = value
	}
	return fields, parser.readEnd()
}

func (parser *parser) readArray(path string, depth int) (any, error) {
	items := []any{}
	for parser.decoder.More() {
		value, err := parser.readValue(IndexPath(path, len(items)), depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, value)
	}
	return items, parser.readEnd()
}

// readEnd reads the closing delimiter of an object or array.
func (parser *parser) readEnd() error {
	_, err := parser.decoder.Token()
	return asUnexpectedEOF(err)
}

// convertNumber returns a float64, because the schema validator panics on a json.Number with a huge exponent.
func (parser *parser) convertNumber(path string, number json.Number) float64 {
	value, err := number.Float64()
	if err != nil {
		parser.faults.Add(path, fmt.Sprintf("number %.20s is out of range", number))
		return 0
	}
	return value
}

func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// IndexPath returns the path of an item of the array at path.
func IndexPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
