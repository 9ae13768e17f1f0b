// Package rank orders VMs per subject by rendezvous hashing: all proxies that know the same VMs get the same order, and
// adding or removing a VM moves only the subjects that it holds.
package rank
