// Package audit records an audit log of changes in the platform, where it survives the loss of VMs.
package audit
