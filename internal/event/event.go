package event

import "go.uber.org/zap"

// Number identifies a kind of log event; numbers are never reused for another kind.
type Number int

// Log logs an event with its number at the level of its kind.
func Log(logger *zap.Logger, number Number, fields ...zap.Field) {
	kind := kinds[number]
	logger.Log(kind.Level, kind.Text, append(fields, zap.Int("Event", int(number)))...)
}
