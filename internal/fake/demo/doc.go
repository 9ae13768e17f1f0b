// Package demo runs load and failures against a small fleet of processes and checks the guarantees of the proxy.
package demo
