// Package rapids runs a package's property tests with a fixed seed unless the command line sets one.
package rapids
