// Command standin plays the platform, a database group and its callers for the scripts of this review.
//
// It starts the proxies of a small fleet as separate processes, brings about one disruption, writes what was sent, answered
// and run to a record, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main
