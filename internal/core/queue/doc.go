// Package queue decides in which order requests that wait for a connection to a group's servers are served, and which ones
// cannot be served in time.
//
// Where a deployment's routes differ in priority, the order is fair between teams by the server time that they used. Teams
// within their fair share come first, and among them the most urgent requests; then come the other teams, those that used
// least first. Inside a team the order is by priority and then by deadline. Where all routes have one priority, requests are
// served in the order of their arrival.
package queue
