package core

// Options that disable a mechanism, to show what it prevents.
var (
	WithoutTrust    = without(trustMechanism)
	WithoutExchange = without(exchangeMechanism)
)

func without(mechanism mechanism) Option {
	return func(core *Core) { core.disabled = mechanism }
}
