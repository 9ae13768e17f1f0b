// Package fleet runs one proxy of a fleet on a platform whose store holds all
// durable state.
package fleet
