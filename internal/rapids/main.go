package rapids

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers its flags
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = 20261204
)

// Option sets a flag of rapid; Main ignores it if the command line sets a seed.
type Option struct{ name, value string }

// WithSeed replaces the default seed.
func WithSeed(seed uint64) Option {
	return Option{seedFlag, strconv.FormatUint(seed, 10)}
}

// WithChecks sets the number of test cases of each property.
func WithChecks(checks int) Option {
	return Option{"rapid.checks", strconv.Itoa(checks)}
}

// WithSteps sets the average number of actions in a test case of a state machine.
func WithSteps(steps int) Option {
	return Option{"rapid.steps", strconv.Itoa(steps)}
}

// Main runs a package's tests with the given flags of rapid and exits; TestMain calls it.
func Main(m *testing.M, options ...Option) {
	flag.Parse()
	if flag.Lookup(seedFlag).Value.String() == "0" {
		setFlag(WithSeed(defaultSeed))
		for _, option := range options {
			setFlag(option)
		}
	}
	setFlag(Option{"rapid.nofailfile", "true"})
	os.Exit(m.Run())
}

func setFlag(option Option) {
	if err := flag.Set(option.name, option.value); err != nil {
		panic(err)
	}
}
