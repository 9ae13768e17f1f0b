package event

import "go.uber.org/zap"

// Number identifies a kind of log event; numbers are never used again for another kind.
type Number int

// Log writes a numbered event at the level that its kind has.
func Log(logger *zap.Logger, number Number, fields ...zap.Field) {
	kind := kinds[number]
	logger.Log(kind.Level, kind.Text, append(fields, zap.Int("Event", int(number)))...)
}
