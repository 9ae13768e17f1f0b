package event

import "go.uber.org/zap"

// Cause returns the field for an error's message without its stack, or none for nil.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("Cause", err.Error())
}
