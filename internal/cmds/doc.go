// Package cmds implements the corianderspool command line and its subcommands.
package cmds
