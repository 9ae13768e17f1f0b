// Package audit keeps the trail of changes in the platform, where it outlasts the VMs.
package audit
