package change

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// EqualJSON tells whether two JSON texts hold the same value, whatever their spacing and order of fields.
func EqualJSON(left, right json.RawMessage) bool {
	leftValue, leftErr := decode(left)
	rightValue, rightErr := decode(right)
	if leftErr != nil || rightErr != nil {
		return bytes.Equal(left, right)
	}
	return reflect.DeepEqual(leftValue, rightValue)
}

func decode(text json.RawMessage) (value any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err = decoder.Decode(&value)
	return value, err
}
