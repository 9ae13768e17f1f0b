package front

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func TestClassify(t *testing.T) {
	long := strings.Repeat(", (x)", 100_000)
	classifier := newClassifier(spool.RouteSpec{Reads: []string{"explain "}, Idempotent: []string{"PUT "}})
	for text, want := range map[string]traits{
		"SELECT 1":                                   {read: true},
		"-- a\n/* b /* c */ d */ select 1":           {read: true},
		"(SELECT 1)":                                 {},
		"GET a":                                      {read: true},
		"LIST a; SHOW b; VALUES (1); TABLE c;":       {read: true},
		"POSITION":                                   {read: true},
		"EXPLAIN DELETE FROM a":                      {read: true, idempotent: true},
		"EXPLAIN SELECT a FOR UPDATE":                {},
		"EXPLAINED":                                  {},
		"SELECT 1; DELETE FROM a":                    {},
		"SELECT a FROM b FOR UPDATE":                 {},
		"SELECT a FROM b for no key\nupdate":         {},
		"SELECT a FROM b FOR KEY SHARE":              {},
		"SELECT a FROM b FOR /* x */ SHARE":          {},
		"SELECT 'FOR UPDATE', $$ FOR UPDATE $$":      {read: true},
		"SELECT $a$ ; $$ ; FOR UPDATE $a$":           {read: true},
		"SELECT E'\\'' FOR UPDATE":                   {},
		"SELECT '\\' FOR UPDATE":                     {},
		"SELECT a INTO b FROM c":                     {},
		"SELECT pg_advisory_xact_lock(1)":            {},
		"WITH a AS (DELETE FROM b) SELECT 1":         {},
		"put a b":                                    {idempotent: true},
		"PUT a b; PUT c d":                           {idempotent: true},
		"PUT a b; APPEND c d":                        {},
		"BEGIN":                                      {beginsTx: true, idempotent: true},
		"begin transaction read only":                {beginsTx: true, idempotent: true, read: true},
		"START TRANSACTION READ ONLY":                {beginsTx: true, idempotent: true, read: true},
		"BEGIN READ ONLY; SELECT 1":                  {beginsTx: true, read: true},
		"COMMIT":                                     {endsTx: true},
		"end":                                        {endsTx: true},
		"ROLLBACK":                                   {endsTx: true},
		"ROLLBACK TO SAVEPOINT a":                    {},
		"COMMIT AND CHAIN":                           {},
		"SELECT 1" + long:                            {read: true},
		"SELECT 1" + long + " FOR\nUPDATE":           {},
		"SELECT 1" + long + " FOR x UPDATE":          {read: true},
		"":                                           {empty: true, read: true, idempotent: true},
		" ; -- nothing":                              {empty: true, read: true, idempotent: true},
		"SELECT 'unterminated":                       {read: true},
		"SELECT /* unterminated FOR UPDATE":          {read: true},
		"SELECT \"for update\" FROM \"a\"\"b\"":      {read: true},
		"SELECT a.b FROM c WHERE d = 'x' FOR UPDATE": {},
	} {
		c := qt.New(t)
		found := classifier.classify(text)
		c.Assert(found, qt.Equals, want, qt.Commentf("%.80s", text))
	}
}

func TestTooComplexStatementIsRefused(t *testing.T) {
	text := "SELECT 1" + strings.Repeat(" FOR x", 100_000)
	qt.Assert(t, newClassifier(spool.RouteSpec{}).classify(text).refusal.Code, qt.Equals, codeTooLarge)
}

func TestMessageTrackerFollowsSplitMessages(t *testing.T) {
	c := qt.New(t)
	stream := []byte("D\x00\x00\x00\x06abE\x00\x00\x00\x04Z\x00\x00\x00\x05I")
	for cut := range len(stream) + 1 {
		var messageTracker messageTracker
		messageTracker.advance(stream[:cut])
		c.Assert(messageTracker.atBoundary(), qt.Equals, cut == 0 || cut == 7 || cut == 12 || cut == 18)
		c.Assert(messageTracker.errorSeen, qt.Equals, cut >= 12)
		messageTracker.advance(stream[cut:])
		c.Assert(messageTracker.atBoundary(), qt.IsTrue)
	}
}

func TestServerStatementNamesDependOnTextAndTypes(t *testing.T) {
	c := qt.New(t)
	names := map[string]bool{}
	for _, query := range []string{"GET $1", "GET $2"} {
		for _, oids := range [][]uint32{nil, {0}, {25}, {25, 25}} {
			c.Assert(serverStatementName(query, oids), qt.Equals, serverStatementName(query, oids))
			names[serverStatementName(query, oids)] = true
		}
	}
	c.Assert(names, qt.HasLen, 8)
}
