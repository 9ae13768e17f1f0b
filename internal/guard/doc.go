// Package guard keeps a panic in the work for one session, message or stream from ending the process.
package guard
