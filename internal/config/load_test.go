package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/pkg/spool"
)

func testSettings() Settings {
	return Settings{
		VM:     "fukuoka-1",
		Domain: "fukuoka",
		Caller: Caller{Address: "0.0.0.0:6432", Certificate: "fukuoka-1.crt", PrivateKey: "fukuoka-1.key"},
		Peer: Peer{
			Address:     "10.0.0.1:6433",
			Certificate: "fukuoka-1.crt",
			PrivateKey:  "fukuoka-1.key",
			Authority:   "ca.crt",
			Seeds:       []string{"10.0.1.1:6433", "10.0.2.1:6433"},
		},
		Operator:     Operator{Address: "127.0.0.1:6434"},
		Platform:     Platform{URL: "http://10.0.9.1:8080", TokenFile: "token"},
		Backend:      Backend{User: "spool", PasswordFile: "password"},
		Log:          Log{Level: "warn"},
		DrainTimeout: spool.Duration(30 * time.Second),
	}
}

// writeSettings writes settings and all files that they may refer to, and returns the path of the settings.
func writeSettings(c *qt.C, settings Settings) string {
	dir := c.TempDir()
	issuer, err := certs.NewIssuer(time.Hour)
	c.Assert(err, qt.IsNil)
	for _, vm := range []spool.VM{"fukuoka-1", "fukuoka-2"} {
		_, err = issuer.Issue(dir, vm)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(os.WriteFile(filepath.Join(dir, "token"), []byte("t"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "password"), []byte("p"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "empty"), nil, 0o600), qt.IsNil)
	body, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	path := filepath.Join(dir, "settings.json")
	c.Assert(os.WriteFile(path, body, 0o600), qt.IsNil)
	return path
}

func TestLoad(t *testing.T) {
	c := qt.New(t)
	path := writeSettings(c, testSettings())
	settings, faults := Load(path)
	c.Assert(faults, qt.HasLen, 0)
	want := testSettings()
	want.resolvePaths(filepath.Dir(path))
	c.Assert(settings, qt.DeepEquals, want)
	c.Assert(settings.Peer.Authority, qt.Equals, filepath.Join(filepath.Dir(path), "ca.crt"))
}

func TestLoadMissing(t *testing.T) {
	c := qt.New(t)
	_, faults := Load(filepath.Join(c.TempDir(), "none.json"))
	c.Assert(faults, qt.HasLen, 1)
	c.Assert(faults[0].Reason, qt.Matches, "settings cannot be read: .*")
}

func TestParseFillsDefaults(t *testing.T) {
	c := qt.New(t)
	text := `{"VM":"a","Domain":"d","Caller":{"Address":"127.0.0.1:1"},
		"Peer":{"Address":"127.0.0.1:2","Certificate":"c","PrivateKey":"k","Authority":"a"},
		"Operator":{"Address":"127.0.0.1:3"},"Platform":{"URL":"http://127.0.0.1:4"},
		"Backend":{"User":"u","PasswordFile":"p"}}`
	settings, faults := Parse([]byte(text))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(settings.Log.Level, qt.Equals, DefaultLogLevel)
	c.Assert(settings.DrainTimeout, qt.Equals, DefaultDrainTimeout)
}

func TestLoadFaults(t *testing.T) {
	tests := []struct {
		name   string
		alter  func(settings *Settings)
		path   string
		reason string
	}{
		{"NoVM", func(s *Settings) { s.VM = "" }, "VM", ".*does not match.*"},
		{"HostName", func(s *Settings) { s.Caller.Address = "host:1" }, "Caller.Address", ".*not of the form ip:port"},
		{"NoPort", func(s *Settings) { s.Operator.Address = "127.0.0.1:0" }, "Operator.Address", ".*no port"},
		{"AnyPeer", func(s *Settings) { s.Peer.Address = "0.0.0.0:6433" }, "Peer.Address", ".*not one that others can connect to"},
		{"SameAddress", func(s *Settings) { s.Operator.Address = s.Peer.Address }, "Operator.Address", ".*overlaps with Peer.Address"},
		{"Wildcard", func(s *Settings) { s.Peer.Address = "10.0.0.1:6432" }, "Peer.Address", ".*overlaps with Caller.Address"},
		{"SeedTwice", func(s *Settings) { s.Peer.Seeds[1] = s.Peer.Seeds[0] }, "Peer.Seeds[1]", ".*already at Peer.Seeds\\[0\\]"},
		{"BadSeed", func(s *Settings) { s.Peer.Seeds[0] = "x" }, "Peer.Seeds[0]", ".*not of the form ip:port"},
		{"URL", func(s *Settings) { s.Platform.URL = "ftp://x" }, "Platform.URL", ".*not an http or https URL"},
		{"Credentials", func(s *Settings) { s.Platform.URL = "http://a:b@h" }, "Platform.URL", ".*belong into TokenFile"},
		{"LogLevel", func(s *Settings) { s.Log.Level = "loud" }, "Log.Level", "value must be one of .*"},
		{"NoDrain", func(s *Settings) { s.DrainTimeout = 0 }, "DrainTimeout", ".*above 0s.*"},
		{"NoPeerKey", func(s *Settings) { s.Peer.PrivateKey = "" }, "Peer.PrivateKey", "file is not given"},
		{"HalfTLS", func(s *Settings) { s.Caller.PrivateKey = "" }, "Caller.Certificate", ".*given together.*"},
		{"MissingFile", func(s *Settings) { s.Platform.TokenFile = "gone" }, "Platform.TokenFile", "open .*gone: no such file.*"},
		{"EmptyFile", func(s *Settings) { s.Backend.PasswordFile = "empty" }, "Backend.PasswordFile", "file .* is empty"},
		{"OtherKey", func(s *Settings) { s.Peer.PrivateKey = "fukuoka-2.key" }, "Peer.Certificate", ".*does not match.*"},
		{"OtherVM", func(s *Settings) {
			s.Peer.Certificate, s.Peer.PrivateKey = "fukuoka-2.crt", "fukuoka-2.key"
		}, "Peer.Certificate", ".*not the VM \"fukuoka-1\""},
		{"NoAuthority", func(s *Settings) { s.Peer.Authority = "password" }, "Peer.Certificate", "authority .* holds no certificate"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			settings := testSettings()
			test.alter(&settings)
			_, faults := Load(writeSettings(c, settings))
			c.Assert(faults, qt.HasLen, 1, qt.Commentf("%v", faults))
			c.Assert(faults[0].Path, qt.Equals, test.path)
			c.Assert(faults[0].Reason, qt.Matches, test.reason)
		})
	}
}

func TestParseSchemaFaults(t *testing.T) {
	tests := []struct{ name, from, to, path, reason string }{
		{"Unknown", `"VM":`, `"Vm":1,"VM":`, "Vm", "unknown field"},
		{"Twice", `"VM":`, `"VM":"x","VM":`, "VM", "field is given twice"},
		{"Unit", `"30s"`, `30`, "DrainTimeout", "got number, want string"},
		{"UnitName", `"30s"`, `"30 seconds"`, "DrainTimeout", ".*does not match pattern.*"},
		{"Comment", `{`, `{// no comments`, "", "invalid JSON.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			body, err := json.Marshal(testSettings())
			c.Assert(err, qt.IsNil)
			_, faults := Parse([]byte(strings.Replace(string(body), test.from, test.to, 1)))
			c.Assert(faults, qt.HasLen, 1, qt.Commentf("%v", faults))
			c.Assert(faults[0].Path, qt.Equals, test.path)
			c.Assert(faults[0].Reason, qt.Matches, test.reason)
		})
	}
}
