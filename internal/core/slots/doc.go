// Package slots schedules the transaction slots of a group's backend servers
// fairly between teams.
//
// The group's leader holds one Queue for the whole fleet. A free slot goes to
// the waiting team with the least recent slot time, so a team that sends
// several times its rate delays only itself.
package slots
