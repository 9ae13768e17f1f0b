package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/cmds"
	"corianderspool.example/spool/platform"
)

// TestFleetWithInvalidSettingsIsInvalidInput starts the proxy with settings that are missing, malformed or incomplete:
// it must exit with the code for invalid input.
func TestFleetWithInvalidSettingsIsInvalidInput(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	broken, empty := filepath.Join(dir, "broken.json"), filepath.Join(dir, "empty.json")
	c.Assert(os.WriteFile(broken, []byte("{"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(empty, []byte("{}"), 0o600), qt.IsNil)
	for _, path := range []string{"", filepath.Join(dir, "none.json"), broken, empty} {
		c.Setenv(platform.SettingsVariable, path)
		var output, errors bytes.Buffer
		program := cmds.New(cmds.WithFleet(runFleet), cmds.WithStreams(strings.NewReader(""), &output, &errors))
		c.Assert(program.Run(context.Background(), []string{"fleet"}), qt.Equals, cmds.Invalid, qt.Commentf("%q", path))
		c.Assert(errors.String(), qt.Not(qt.Equals), "")
	}
}
