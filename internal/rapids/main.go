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

// Option sets a flag of rapid that is used with the fixed seed.
type Option struct{ name, value string }

// WithSeed sets the fixed seed.
func WithSeed(seed uint64) Option {
	return Option{seedFlag, strconv.FormatUint(seed, 10)}
}

// WithChecks sets the number of runs of each property.
func WithChecks(checks int) Option {
	return Option{"rapid.checks", strconv.Itoa(checks)}
}

// WithSteps sets the average number of actions of a state machine.
func WithSteps(steps int) Option {
	return Option{"rapid.steps", strconv.Itoa(steps)}
}

// Main runs a package's tests and exits; it is called by TestMain.
func Main(m *testing.M, options ...Option) {
	flag.Parse()
	if flag.Lookup(seedFlag).Value.String() == "0" {
		set(WithSeed(defaultSeed))
		for _, option := range options {
			set(option)
		}
	}
	set(Option{"rapid.nofailfile", "true"})
	os.Exit(m.Run())
}

func set(option Option) {
	if err := flag.Set(option.name, option.value); err != nil {
		panic(err)
	}
}
