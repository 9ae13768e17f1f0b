// Package member keeps the view of which VMs live, who reads the platform for a failure domain and who relays.
package member
