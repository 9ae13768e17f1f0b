// Package rapids runs the property tests of a package with a fixed seed, unless the command line gives another.
package rapids
