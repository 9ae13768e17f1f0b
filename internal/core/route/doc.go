// Package route selects the backend servers that may answer a request by log position, data age and term.
package route
