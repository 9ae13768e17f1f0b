// Package route selects, by log position, data age and term, the backend servers that may answer a request.
package route
