// Package oper serves metrics, health, readiness and status to operators and monitoring over HTTP.
package oper
