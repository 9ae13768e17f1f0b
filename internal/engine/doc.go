// Package engine runs the sessions of callers: values, prepared statements,
// transactions, retries and verdicts, free of any wire format.
package engine
