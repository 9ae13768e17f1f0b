package change

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// EqualJSON reports whether two JSON texts hold the same value regardless of whitespace and field order; texts that are
// not valid JSON are compared byte by byte.
func EqualJSON(left, right json.RawMessage) bool {
	leftValue, leftErr := decodeJSON(left)
	rightValue, rightErr := decodeJSON(right)
	if leftErr != nil || rightErr != nil {
		return bytes.Equal(left, right)
	}
	return reflect.DeepEqual(leftValue, rightValue)
}

func decodeJSON(text json.RawMessage) (value any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err = decoder.Decode(&value)
	return value, err
}
