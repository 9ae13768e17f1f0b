package event

import "go.uber.org/zap"

// Cause returns a log field with the message of an error without its stack trace, or a no-op field for nil.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("Cause", err.Error())
}
