// Package route decides which backend servers may answer a request: by position, age of data and term.
package route
