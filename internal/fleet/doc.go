// Package fleet runs one proxy of a fleet on a platform whose store holds
// whatever must last.
package fleet
