// Package slots shares the slots of a group's backend servers fairly between
// teams.
//
// The group's leader holds one Queue for the whole fleet. A free slot goes to
// the waiting team that used the least slot time lately, so a team that sends
// several times its rate delays only itself.
package slots
