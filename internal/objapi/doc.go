// Package objapi implements a client of the platform's object API over HTTP and JSON.
package objapi
