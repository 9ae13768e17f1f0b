// Package config reads the settings of a proxy.
package config
