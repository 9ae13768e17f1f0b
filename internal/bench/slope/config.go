package slope

import (
	"google.golang.org/protobuf/proto"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

func policyMeasures() []measure {
	keys := func(size int) sizes { return sizes{teams: 1, keys: size} }
	routes := func(size int) sizes { return sizes{teams: 1, groups: 1, routes: size} }
	groups := func(size int) sizes { return sizes{groups: size} }
	teams := func(size int) sizes { return sizes{teams: size} }
	counts := []int{100, 500, 1500}
	return []measure{
		line("OfferKeys", "keys", "CPU µs a manifest", counts, offering(keys)),
		line("OfferRoutes", "routes", "CPU µs a manifest", counts, offering(routes)),
		line("OfferGroups", "groups of three servers", "CPU µs a manifest", counts, offering(groups)),
		line("OfferTeams", "teams", "CPU µs a manifest", counts, offering(teams)),
		line("PassKeys", "keys", "bytes of the answer to a proxy", counts, passing(keys)),
		line("PassRoutes", "routes", "bytes of the answer to a proxy", counts, passing(routes)),
		line("PassGroups", "groups of three servers", "bytes of the answer to a proxy", counts, passing(groups)),
		line("PassTeams", "teams", "bytes of the answer to a proxy", counts, passing(teams)),
		line("OfferOther", "keys in force of another partner", "CPU µs a manifest", counts, offerOther),
	}
}

// offering measures to put a manifest in force, which runs on the core's one thread.
func offering(shape func(size int) sizes) func(size int) (float64, error) {
	return func(size int) (float64, error) {
		offered := manifestObject(shape(size))
		store := policy.NewStore()
		return offerMicros(store, offered)
	}
}

func offerMicros(store *policy.Store, offered spool.Object) (float64, error) {
	var refused error
	micros := microsPerCall(func() {
		offered.Version++
		if _, faults := store.Apply(offered); len(faults) > 0 {
			refused = eris.New(faults.Error())
		}
	})
	return micros, refused
}

// offerOther measures to put a small manifest in force beside a large one.
func offerOther(keys int) (float64, error) {
	store := policy.NewStore()
	if _, faults := store.Apply(manifestObject(sizes{teams: 1, keys: keys})); len(faults) > 0 {
		return 0, eris.New(faults.Error())
	}
	return offerMicros(store, emptyManifests(1)[0])
}

// passing measures the answer to a proxy that lacks the manifest.
func passing(shape func(size int) sizes) func(size int) (float64, error) {
	return func(size int) (float64, error) {
		world := newWorld(meshFleet, []spool.Object{manifestObject(shape(size))}, nil)
		request := core.Received{From: memberAt(1).VM, Envelope: &wire.Envelope{
			Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}},
		}}
		for _, effect := range world.core.Handle(request, world.now) {
			if send, isSend := effect.(core.Send); isSend && send.Envelope.GetConfigAnswer() != nil {
				return float64(proto.Size(send.Envelope)), nil
			}
		}
		return 0, eris.New("no answer")
	}
}
