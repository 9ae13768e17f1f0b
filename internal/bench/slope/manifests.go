package slope

import (
	"google.golang.org/protobuf/proto"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

func manifestMeasures() []measure {
	keys := func(size int) manifestSizes { return manifestSizes{teams: 1, keys: size} }
	routes := func(size int) manifestSizes { return manifestSizes{teams: 1, groups: 1, routes: size} }
	groups := func(size int) manifestSizes { return manifestSizes{groups: size} }
	teams := func(size int) manifestSizes { return manifestSizes{teams: size} }
	counts := []int{100, 500, 1500}
	return []measure{
		newMeasure("OfferKeys", "keys", "CPU µs a manifest", counts, applyCost(keys)),
		newMeasure("OfferRoutes", "routes", "CPU µs a manifest", counts, applyCost(routes)),
		newMeasure("OfferGroups", "groups of three servers", "CPU µs a manifest", counts, applyCost(groups)),
		newMeasure("OfferTeams", "teams", "CPU µs a manifest", counts, applyCost(teams)),
		newMeasure("PassKeys", "keys", "bytes of the answer to a proxy", counts, answerBytes(keys)),
		newMeasure("PassRoutes", "routes", "bytes of the answer to a proxy", counts, answerBytes(routes)),
		newMeasure("PassGroups", "groups of three servers", "bytes of the answer to a proxy", counts, answerBytes(groups)),
		newMeasure("PassTeams", "teams", "bytes of the answer to a proxy", counts, answerBytes(teams)),
		newMeasure("OfferOther", "keys in force of another partner", "CPU µs a manifest", counts, applyBesideLarge),
	}
}

// applyCost returns a measure of the CPU time to put a manifest in force, which blocks the core's only thread.
func applyCost(shape func(size int) manifestSizes) func(size int) (float64, error) {
	return func(size int) (float64, error) {
		update := manifestObject(shape(size))
		store := policy.NewStore()
		return applyMicros(store, update)
	}
}

func applyMicros(store *policy.Store, update spool.Object) (float64, error) {
	var rejection error
	micros := microsPerCall(func() {
		update.Version++
		if _, faults := store.Apply(update); len(faults) > 0 {
			rejection = eris.New(faults.Error())
		}
	})
	return micros, rejection
}

// applyBesideLarge measures putting a small manifest in force while a large one of another partner is in force.
func applyBesideLarge(keys int) (float64, error) {
	store := policy.NewStore()
	if _, faults := store.Apply(manifestObject(manifestSizes{teams: 1, keys: keys})); len(faults) > 0 {
		return 0, eris.New(faults.Error())
	}
	return applyMicros(store, emptyManifests(1)[0])
}

// answerBytes returns a measure of the size of the answer to a proxy that does not have the manifest.
func answerBytes(shape func(size int) manifestSizes) func(size int) (float64, error) {
	return func(size int) (float64, error) {
		simulation := newSimulation(meshMembers, []spool.Object{manifestObject(shape(size))}, nil)
		request := core.Received{From: memberAt(1).VM, Envelope: &wire.Envelope{
			Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}},
		}}
		for _, effect := range simulation.core.Handle(request, simulation.now) {
			if send, isSend := effect.(core.Send); isSend && send.Envelope.GetConfigAnswer() != nil {
				return float64(proto.Size(send.Envelope)), nil
			}
		}
		return 0, eris.New("the core sent no ConfigAnswer")
	}
}
