// Package objsrv is an in-memory stand-in for the platform's object API, with faults that tests set.
package objsrv
