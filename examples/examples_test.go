package examples_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

// partnerSizes are the expected sizes of a partner's manifest.
type partnerSizes struct {
	partner                                    spool.Partner
	groups, servers, slots, connections, teams int
}

var partners = []partnerSizes{
	{partner: "kyushu", groups: 3, servers: 3, slots: 3, connections: 20, teams: 8},
	{partner: "aquariums", groups: 3, servers: 3, slots: 5, connections: 60, teams: 8},
}

func TestManifests(t *testing.T) {
	for _, partnerSizes := range partners {
		t.Run(string(partnerSizes.partner), func(t *testing.T) {
			c := qt.New(t)
			body, err := os.ReadFile(filepath.Join(string(partnerSizes.partner), "manifest.json"))
			c.Assert(err, qt.IsNil)
			manifest, faults := policy.ParseManifest(partnerSizes.partner, body)
			c.Assert(faults, qt.HasLen, 0, qt.Commentf("%v", faults))
			c.Assert(manifest.Teams, qt.HasLen, partnerSizes.teams)
			c.Assert(manifest.Groups, qt.HasLen, partnerSizes.groups)
			for _, group := range manifest.Groups {
				c.Assert(group.Servers, qt.HasLen, partnerSizes.servers)
				for _, server := range group.Servers {
					c.Assert(server.Slots, qt.Equals, partnerSizes.slots)
					c.Assert(server.Connections, qt.Equals, partnerSizes.connections)
				}
			}
		})
	}
}

func TestManifestsApplyTogether(t *testing.T) {
	c := qt.New(t)
	store := policy.NewStore()
	for i, partnerSizes := range partners {
		body, err := os.ReadFile(filepath.Join(string(partnerSizes.partner), "manifest.json"))
		c.Assert(err, qt.IsNil)
		object := spool.Object{
			Kind:    spool.KindManifest,
			Name:    string(partnerSizes.partner),
			Version: spool.Version(i + 1),
			Body:    body,
		}
		change, faults := store.Apply(object)
		c.Assert(faults, qt.HasLen, 0)
		c.Assert(change.Accepted, qt.IsTrue)
	}
	c.Assert(store.Snapshot().Groups(), qt.HasLen, 6)
	c.Assert(store.Snapshot().Teams(), qt.HasLen, 16)
}

// TestSettings loads a copy of the settings from a directory with generated key files, since the files that the settings
// refer to are not committed.
func TestSettings(t *testing.T) {
	for _, partnerSizes := range partners {
		t.Run(string(partnerSizes.partner), func(t *testing.T) {
			c := qt.New(t)
			body, err := os.ReadFile(filepath.Join(string(partnerSizes.partner), "settings.json"))
			c.Assert(err, qt.IsNil)
			settings, faults := config.Parse(body)
			c.Assert(faults, qt.HasLen, 0, qt.Commentf("%v", faults))
			dir := c.TempDir()
			issuer, err := certs.NewIssuer(time.Hour)
			c.Assert(err, qt.IsNil)
			files, err := issuer.Issue(dir, settings.VM)
			c.Assert(err, qt.IsNil)
			for _, name := range []string{"caller", "peer"} {
				copyFile(c, files.Certificate, filepath.Join(dir, name+".crt"))
				copyFile(c, files.PrivateKey, filepath.Join(dir, name+".key"))
			}
			copyFile(c, files.PrivateKey, filepath.Join(dir, "token"))
			copyFile(c, files.PrivateKey, filepath.Join(dir, "password"))
			path := filepath.Join(dir, "settings.json")
			c.Assert(os.WriteFile(path, body, 0o600), qt.IsNil)
			_, faults = config.Load(path)
			c.Assert(faults, qt.HasLen, 0, qt.Commentf("%v", faults))
		})
	}
}

func copyFile(c *qt.C, from, to string) {
	body, err := os.ReadFile(from)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(to, body, 0o600), qt.IsNil)
}
