// Command corianderspool is a database proxy with session consistency.
package main

func main() {}
