// Package certs loads certificates, reloads them when their files change, and identifies VMs by their certificates.
package certs
