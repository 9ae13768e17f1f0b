package core

// Options that turn a mechanism off, so that a proof fails.
var (
	WithoutTrust    = without(trustMechanism)
	WithoutExchange = without(exchangeMechanism)
)

func without(mechanism mechanism) Option {
	return func(core *Core) { core.without = mechanism }
}
