// Package wire holds the protobuf messages that proxies send each other.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
