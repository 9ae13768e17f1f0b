// Package cmds holds the subcommands of the program.
package cmds
