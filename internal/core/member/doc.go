// Package member keeps a proxy's view of which VMs are alive, which one reads the platform for a failure domain, and which relay.
package member
