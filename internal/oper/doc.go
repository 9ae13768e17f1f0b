// Package oper answers operators and their monitoring over HTTP.
package oper
