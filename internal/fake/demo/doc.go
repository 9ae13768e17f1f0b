// Package demo drives a small fleet of processes through failures and checks what the proxy promises.
package demo
