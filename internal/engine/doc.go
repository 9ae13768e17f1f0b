// Package engine runs the sessions of callers, independent of any wire format:
// session values, prepared statements, transactions, retries and verdicts.
package engine
