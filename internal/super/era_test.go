package super_test

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

const (
	defaultSearchDepth = 8 // events after the root
	acquisitions       = 2 // of each of the two holders
	restarts           = 1 // of either holder
)

// searchRoots returns the events that lead to the states from which the search starts: before the first token, after the first
// token of vm2, and the same while vm1 has read that there is none.
func searchRoots() [][]string {
	firstToken := []string{"get arrives vm2", "answer vm2", "create arrives vm2", "answer vm2"}
	return [][]string{{}, firstToken, append([]string{"get arrives vm1", "answer vm1"}, firstToken...)}
}

// searchDepth returns the depth of the search, which ERA_DEPTH sets.
func searchDepth(t *testing.T) int {
	text := os.Getenv("ERA_DEPTH")
	if text == "" {
		return defaultSearchDepth
	}
	depth, err := strconv.Atoi(text)
	qt.Assert(t, err, qt.IsNil)
	return depth
}

// TestTokensIncreaseAcrossFallBacks guards against a token that is issued twice or that is not above those issued before: it
// searches every order of calls that arrive, answers that arrive late or are lost, heartbeats that announce an era, a restart,
// and fall-backs to each earlier copy.
func TestTokensIncreaseAcrossFallBacks(t *testing.T) {
	depth := searchDepth(t)
	for _, era := range []spool.Era{0, 41} {
		for _, root := range searchRoots() {
			search := &eraSearch{era: era, seen: map[uint64]bool{}}
			search.run(root, depth)
			t.Logf("first era %d: %d states, %d events to a depth of %d after %d events; at most %d tokens, %d after a fall-back",
				era, len(search.seen), search.events, depth, len(root), search.mostIssued, search.mostInNewEra)
			if search.violation != "" {
				t.Errorf("first era %d: %s after %s", era, search.violation, strings.Join(search.path, ", "))
			}
			qt.Check(t, search.mostIssued >= 2 && (search.mostInNewEra >= 1 || len(root) == 0), qt.IsTrue)
		}
	}
}

// eraSearch is a breadth-first search that reaches each state by replaying the events that lead to it.
type eraSearch struct {
	era          spool.Era
	seen         map[uint64]bool
	events       int
	mostIssued   int
	mostInNewEra int
	violation    string
	path         []string
}

// eraNode is a state that the search reached.
type eraNode struct {
	path    []uint8 // choices among the steps of each state on the way
	choices int     // steps of the state
}

// run searches all events up to a depth after those of the root.
func (search *eraSearch) run(root []string, depth int) {
	start, _ := search.visit(choicesOf(search.era, root))
	frontier := []eraNode{start}
	for range depth {
		var next []eraNode
		for _, node := range frontier {
			for choice := range node.choices {
				reached, isNew := search.visit(append(slices.Clone(node.path), uint8(choice)))
				if search.violation != "" {
					return
				}
				if isNew {
					next = append(next, reached)
				}
			}
		}
		frontier = next
	}
}

// visit replays a path and reports whether it leads to a state that was not seen before.
func (search *eraSearch) visit(path []uint8) (node eraNode, isNew bool) {
	model := replay(search.era, path)
	defer model.close()
	search.events++
	search.mostIssued = max(search.mostIssued, len(model.issued))
	search.mostInNewEra = max(search.mostInNewEra, model.inNewEra)
	if model.violation != "" {
		search.violation, search.path = model.violation, names(search.era, path)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(model.key()))
	isNew = !search.seen[hash.Sum64()]
	search.seen[hash.Sum64()] = true
	return eraNode{path, len(model.steps())}, isNew
}

func replay(era spool.Era, path []uint8) *eraModel {
	model := newEraModel(era, acquisitions, restarts)
	for _, choice := range path {
		model.steps()[choice].apply()
	}
	return model
}

// choicesOf returns the choices that lead through the named events.
func choicesOf(era spool.Era, names []string) []uint8 {
	model := newEraModel(era, acquisitions, restarts)
	defer model.close()
	var choices []uint8
	for _, name := range names {
		steps := model.steps()
		choice := slices.IndexFunc(steps, func(step step) bool { return step.name == name })
		steps[choice].apply()
		choices = append(choices, uint8(choice))
	}
	return choices
}

func names(era spool.Era, path []uint8) []string {
	model := newEraModel(era, acquisitions, restarts)
	defer model.close()
	var names []string
	for _, choice := range path {
		step := model.steps()[choice]
		names = append(names, step.name)
		step.apply()
	}
	return names
}

// fallingBackFleet lets the store fall back once a token was issued, between its acquisition and its use.
type fallingBackFleet struct {
	stubFleet
	cluster  *cluster
	snapshot kvsrv.Snapshot
	once     *sync.Once
}

func (fleet fallingBackFleet) RegistryComplete() bool {
	if len(fleet.cluster.store.Names(super.KindFencingToken)) > 0 {
		fleet.once.Do(func() {
			fleet.cluster.store.FallBack(fleet.snapshot)
			fleet.cluster.client.ObserveEra(2) // as from a heartbeat
		})
	}
	return true
}

// TestTokenOfAnOlderEraIsNotUsed guards against a promotion with a token that the store may have issued again since.
func TestTokenOfAnOlderEraIsNotUsed(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	cluster.store.SetEra(1)
	fleet := fallingBackFleet{stubFleet{poll: allUnreachable}, cluster, cluster.store.Snapshot(), &sync.Once{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	tokens := super.NewFencingTokens(cluster.client, "vm1", rand.Uint64)
	go super.New(
		"vm1", cluster.pool, platform.ServerDialer{}, tokens, cluster.client, fleet, clock.Real{}, zap.NewNop(),
	).Run(ctx)
	cluster.group.Server("a").Kill()
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	c.Assert(cluster.promotedServers(), qt.HasLen, 1)
	// The first token of the era is followed by a wait for a holder that the store may have lost, and by the one that is used.
	c.Assert(cluster.store.FencingToken("g1"), qt.Equals, uint64(2)<<32+2)
}

// eraStore is a memoryStore with a settable era.
type eraStore struct {
	memoryStore
	era spool.Era
}

func (store *eraStore) Era() spool.Era { return store.era }

// TestTokensKeepIncreasingWhenErasBegin guards against lower tokens once the store of a running fleet begins to announce eras.
func TestTokensKeepIncreasingWhenErasBegin(t *testing.T) {
	c := qt.New(t)
	store := &eraStore{}
	nonce := uint64(0)
	tokens := super.NewFencingTokens(store, "vm1", func() uint64 { nonce++; return nonce })
	last := uint64(0)
	for _, era := range []spool.Era{0, 0, 5, 5, 6, spool.MaxEra} {
		store.era = era
		token, _, err := tokens.Next(context.Background(), "g1")
		c.Assert(err, qt.IsNil)
		c.Assert(token > last, qt.IsTrue)
		c.Assert(tokens.IsCurrent(token), qt.IsTrue)
		c.Assert(last == 0 || tokens.IsCurrent(last) == (last>>32 == uint64(era)), qt.IsTrue)
		if era == 0 {
			c.Assert(token, qt.Equals, last+1)
		}
		last = token
	}
}

// TestPreviousHolderIsUnknownAfterAFallBack guards against a second promotion while another holder's one is in progress, whose
// token the store lost: until a token of the era was issued, the previous one counts as recent.
func TestPreviousHolderIsUnknownAfterAFallBack(t *testing.T) {
	c := qt.New(t)
	store := &eraStore{era: 3}
	nonce := uint64(0)
	tokens := super.NewFencingTokens(store, "vm1", func() uint64 { nonce++; return nonce })
	_, _, err := tokens.Next(context.Background(), "g1")
	c.Assert(err, qt.IsNil)
	_, recent, err := tokens.Next(context.Background(), "g1")
	c.Assert(err, qt.IsNil)
	c.Assert(recent, qt.IsFalse) // the own token
	store.era = 4
	_, recent, err = tokens.Next(context.Background(), "g1")
	c.Assert(err, qt.IsNil)
	c.Assert(recent, qt.IsTrue)
	_, recent, err = tokens.Next(context.Background(), "g1")
	c.Assert(err, qt.IsNil)
	c.Assert(recent, qt.IsFalse)
}
