package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/integrii/flaggy"
	"github.com/xdg-go/scram"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
)

func TestMain(m *testing.M) {
	flaggy.PanicInsteadOfExit = true
	os.Exit(m.Run())
}

// fixture is an object API and a directory for one test.
type fixture struct {
	*qt.C
	server *objsrv.Server
	client *objapi.Client
	dir    string
}

func newFixture(t *testing.T) *fixture {
	c := qt.New(t)
	server := objsrv.New()
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	client := objapi.New(server.URL(), objapi.WithTimeout(time.Second))
	c.Cleanup(client.Close)
	return &fixture{C: c, server: server, client: client, dir: c.TempDir()}
}

// run executes a command line and returns its exit code, output and error output.
func (fixture *fixture) run(arguments ...string) (code Code, output, errors string) {
	return fixture.runInput("", arguments...)
}

func (fixture *fixture) runInput(input string, arguments ...string) (code Code, output, errors string) {
	var outputBuffer, errorBuffer bytes.Buffer
	program := New(
		WithStreams(strings.NewReader(input), &outputBuffer, &errorBuffer),
		WithActor("tester"),
		WithConnect(func(string, string) spool.Platform { return fixture.client }),
	)
	code = program.Run(context.Background(), arguments)
	return code, outputBuffer.String(), errorBuffer.String()
}

func (fixture *fixture) file(name string, value any) string {
	body, err := json.Marshal(value)
	fixture.Assert(err, qt.IsNil)
	path := filepath.Join(fixture.dir, name)
	fixture.Assert(os.WriteFile(path, body, 0o600), qt.IsNil)
	return path
}

func (fixture *fixture) stored() spool.Manifest {
	object, err := fixture.client.Get(context.Background(), spool.KindManifest, "kyushu")
	fixture.Assert(err, qt.IsNil)
	manifest, faults := policy.ParseManifest("kyushu", object.Body)
	fixture.Assert(faults, qt.HasLen, 0)
	return manifest
}

func testManifest(keys ...string) spool.Manifest {
	manifest := spool.Manifest{
		Partner: "kyushu",
		Teams:   []spool.TeamSpec{{Name: "kyushu.counter", RatePerSecond: 50, Burst: 100}},
	}
	verifier, err := newVerifier("a long secret", spool.MinVerifierIterations)
	if err != nil {
		panic(err)
	}
	for _, key := range keys {
		spec := spool.KeySpec{Name: key, Team: "kyushu.counter", Verifier: verifier.String()}
		manifest.Keys = append(manifest.Keys, spec)
	}
	return manifest
}

func TestPush(t *testing.T) {
	fixture := newFixture(t)
	manifest := testManifest("kyushu.counter-1")
	first := fixture.file("first.json", manifest)
	manifest.Teams[0].Burst = 200
	second := fixture.file("second.json", manifest)

	code, output, _ := fixture.run("push", first, "--platform", "x", "--base", "0")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Equals, "accepted: manifest of kyushu has version 1\n")

	code, output, _ = fixture.run("push", first, "--platform", "x")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Equals, "unchanged: manifest of kyushu has version 1\n")

	code, output, errors := fixture.run("push", second, "--platform", "x", "--base", "0")
	fixture.Assert(code, qt.Equals, Conflict)
	fixture.Assert(output, qt.Equals, "conflict: manifest of kyushu has version 1\n")
	fixture.Assert(errors, qt.Contains, "object has another version: 1")
	fixture.Assert(fixture.stored().Teams[0].Burst, qt.Equals, 100.0)

	code, output, _ = fixture.run("push", second, "--platform", "x", "--base", "1", "--json")
	fixture.Assert(code, qt.Equals, Success)
	var result updateResult
	fixture.Assert(json.Unmarshal([]byte(output), &result), qt.IsNil)
	fixture.Assert(result.Outcome, qt.Equals, outcomeAccepted)
	fixture.Assert(result.Version > 1, qt.IsTrue)
	fixture.Assert(fixture.stored().Teams[0].Burst, qt.Equals, 200.0)
}

func TestPushRefusesInvalidInput(t *testing.T) {
	fixture := newFixture(t)
	manifest := testManifest()
	manifest.Teams[0].RatePerSecond = 0
	code, _, errors := fixture.run("push", fixture.file("m.json", manifest), "--platform", "x")
	fixture.Assert(code, qt.Equals, Invalid)
	fixture.Assert(errors, qt.Contains, "Teams[0].RatePerSecond: exclusiveMinimum")
	fixture.Assert(fixture.server.Calls().Total(), qt.Equals, 0)
	for _, arguments := range [][]string{
		{"push", filepath.Join(fixture.dir, "none"), "--platform", "x"},
		{"push", fixture.file("ok.json", testManifest())},
		{"push", fixture.file("ok.json", testManifest()), "--platform", "x", "--base", "new"},
		{"push", fixture.file("ok.json", testManifest()), "--platform", "x", "--token-file", "none"},
		{"push", fixture.file("ok.json", testManifest()), "--platform", "x", "--actor", ""},
	} {
		code, _, _ := fixture.run(arguments...)
		fixture.Assert(code, qt.Equals, Invalid, qt.Commentf("%v", arguments))
	}
}

func TestPushSucceedsAfterLostAnswer(t *testing.T) {
	fixture := newFixture(t)
	path := fixture.file("m.json", testManifest())
	fixture.server.SetFaults(objsrv.Faults{LoseAnswers: 1})
	time.AfterFunc(500*time.Millisecond, func() { fixture.server.SetFaults(objsrv.Faults{}) })
	code, output, errors := fixture.run("push", path, "--platform", "x")
	fixture.Assert(code, qt.Equals, Success, qt.Commentf("%s%s", output, errors))
	fixture.Assert(output, qt.Equals, "accepted: manifest of kyushu has version 1\n")
}

func TestPushDoesNotRestoreWithdrawnKeys(t *testing.T) {
	fixture := newFixture(t)
	path := fixture.file("m.json", testManifest("kyushu.counter-1", "kyushu.counter-2"))
	code, _, _ := fixture.run("push", path, "--platform", "x")
	fixture.Assert(code, qt.Equals, Success)
	code, _, _ = fixture.run("withdraw", "kyushu.counter-1", "--platform", "x")
	fixture.Assert(code, qt.Equals, Success)

	code, _, errors := fixture.run("push", path, "--platform", "x")
	fixture.Assert(code, qt.Equals, Conflict)
	fixture.Assert(errors, qt.Contains, "brings back withdrawn keys: kyushu.counter-1")
	fixture.Assert(fixture.stored().Keys[0].Withdrawn, qt.IsTrue)

	code, _, _ = fixture.run("push", path, "--platform", "x", "--restore-keys")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(fixture.stored().Keys[0].Withdrawn, qt.IsFalse)
}

func TestWithdraw(t *testing.T) {
	fixture := newFixture(t)
	code, _, errors := fixture.run("withdraw", "kyushu.counter-1", "--platform", "x")
	fixture.Assert(code, qt.Equals, Invalid)
	fixture.Assert(errors, qt.Contains, "the partner has no manifest")
	_, _, _ = fixture.run("push", fixture.file("m.json", testManifest("kyushu.counter-1")), "--platform", "x")
	code, _, errors = fixture.run("withdraw", "kyushu.none", "--platform", "x")
	fixture.Assert(code, qt.Equals, Invalid)
	fixture.Assert(errors, qt.Contains, "the manifest has no key kyushu.none")
	code, _, _ = fixture.run("withdraw", "kyushu", "--platform", "x")
	fixture.Assert(code, qt.Equals, Invalid)
	code, output, _ := fixture.run("withdraw", "kyushu.counter-1", "--platform", "x")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Contains, "accepted")
	code, output, _ = fixture.run("withdraw", "kyushu.counter-1", "--platform", "x")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Contains, "unchanged")
}

func TestConcurrentWithdrawals(t *testing.T) {
	fixture := newFixture(t)
	var keys []string
	for i := range 6 {
		keys = append(keys, fmt.Sprintf("kyushu.counter-%d", i))
	}
	_, _, _ = fixture.run("push", fixture.file("m.json", testManifest(keys...)), "--platform", "x")
	fixture.server.SetFaults(objsrv.Faults{LoseAnswers: 0.2, Latency: spool.Duration(2 * time.Millisecond)})
	codes := make([]Code, len(keys))
	var group sync.WaitGroup
	for i, key := range keys {
		group.Go(func() { codes[i], _, _ = fixture.run("withdraw", key, "--platform", "x") })
	}
	group.Wait()
	fixture.server.SetFaults(objsrv.Faults{})
	for i, key := range fixture.stored().Keys {
		fixture.Assert(codes[i], qt.Equals, Success)
		fixture.Assert(key.Withdrawn, qt.IsTrue)
	}
}

func TestAuditShowsChanges(t *testing.T) {
	fixture := newFixture(t)
	_, _, _ = fixture.run("push", fixture.file("m.json", testManifest("kyushu.counter-1")), "--platform", "x")
	_, _, _ = fixture.run("withdraw", "kyushu.counter-1", "--platform", "x", "--actor", "desk")
	code, output, _ := fixture.run("audit", "--platform", "x")
	fixture.Assert(code, qt.Equals, Success)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	fixture.Assert(lines, qt.HasLen, 3)
	fixture.Assert(lines[1], qt.Matches, `.* tester +Push +Manifest/kyushu +1 +teams \[kyushu.counter\]`)
	fixture.Assert(lines[2], qt.Matches, `.* desk +Withdraw +Manifest/kyushu +\d+ +withdrawn \[kyushu.counter-1\]`)
	code, output, _ = fixture.run("audit", "--platform", "x", "--json")
	fixture.Assert(code, qt.Equals, Success)
	var entries []map[string]any
	fixture.Assert(json.Unmarshal([]byte(output), &entries), qt.IsNil)
	fixture.Assert(entries, qt.HasLen, 2)
}

func TestCheck(t *testing.T) {
	fixture := newFixture(t)
	good := fixture.file("good.json", testManifest())
	code, output, _ := fixture.run("check", "--manifest", good)
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Equals, "no faults\n")
	manifest := testManifest("kyushu.a")
	manifest.Teams[0].Burst = 0
	manifest.Keys[0].Team = "kyushu.none"
	bad := fixture.file("bad.json", manifest)
	settings := fixture.file("settings.json", config.Settings{VM: "a"})
	code, output, _ = fixture.run("check", "--settings", settings, "--manifest", good, "--manifest", bad, "--json")
	fixture.Assert(code, qt.Equals, Invalid)
	var faults []fileFault
	fixture.Assert(json.Unmarshal([]byte(output), &faults), qt.IsNil)
	paths := map[string]bool{}
	for _, fault := range faults {
		paths[filepath.Base(fault.File)+" "+fault.Path] = true
	}
	for _, want := range []string{"bad.json Teams[0].Burst", "bad.json Keys[0].Team", "settings.json Platform.URL"} {
		fixture.Assert(paths[want], qt.IsTrue, qt.Commentf("%s in %v", want, paths))
	}
	code, _, _ = fixture.run("check")
	fixture.Assert(code, qt.Equals, Invalid)
}

func TestVerifierMatchesItsSecret(t *testing.T) {
	fixture := newFixture(t)
	code, output, _ := fixture.runInput("pa55 w0rd long\n", "verifier")
	fixture.Assert(code, qt.Equals, Success)
	verifier, err := spool.ParseVerifier(strings.TrimSpace(output))
	fixture.Assert(err, qt.IsNil)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
			StoredKey:  verifier.StoredKey,
			ServerKey:  verifier.ServerKey,
		}, nil
	})
	fixture.Assert(err, qt.IsNil)
	fixture.Assert(authenticate(fixture.C, server, "pa55 w0rd long"), qt.IsTrue)
	fixture.Assert(authenticate(fixture.C, server, "pa55 w0rd lonG"), qt.IsFalse)
	for _, input := range []string{"", "short", strings.Repeat("x", 2000)} {
		code, output, _ = fixture.runInput(input, "verifier")
		fixture.Assert(code, qt.Equals, Invalid)
		fixture.Assert(output, qt.Equals, "")
	}
	code, _, _ = fixture.runInput("pa55 w0rd long", "verifier", "--iterations", "1")
	fixture.Assert(code, qt.Equals, Invalid)
}

func authenticate(c *qt.C, server *scram.Server, secret string) bool {
	client, err := scram.SHA256.NewClient("user", secret, "")
	c.Assert(err, qt.IsNil)
	clientSide, serverSide := client.NewConversation(), server.NewConversation()
	message := ""
	for !clientSide.Done() {
		message, err = clientSide.Step(message)
		if err != nil {
			return false
		}
		if serverSide.Done() {
			break
		}
		message, err = serverSide.Step(message)
		if err != nil {
			return false
		}
	}
	return serverSide.Valid()
}

func TestStatus(t *testing.T) {
	fixture := newFixture(t)
	status := spool.Status{
		VM:     "fukuoka-1",
		Groups: []spool.GroupStatus{{Group: "kyushu.records", Term: 7, Primary: "kyushu.records-2", Leader: "fukuoka-1", Open: true}},
		Teams:  []spool.TeamStatus{{Team: "kyushu.counter", Owner: "kumamoto-1", RatePerSecond: 50, Burst: 100}},
	}
	handler := func(writer http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(writer).Encode(status) }
	server := httptest.NewServer(http.HandlerFunc(handler))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, output, _ := fixture.run("status", "--operator", address)
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Matches, `(?s).*kyushu.records +7 +kyushu.records-2 +fukuoka-1 +true.*kyushu.counter +kumamoto-1 +50 +100.*`)
	code, output, _ = fixture.run("status", "--operator", address, "--json")
	fixture.Assert(code, qt.Equals, Success)
	var read spool.Status
	fixture.Assert(json.Unmarshal([]byte(output), &read), qt.IsNil)
	fixture.Assert(read, qt.DeepEquals, status)
	server.Close()
	code, _, _ = fixture.run("status", "--operator", address)
	fixture.Assert(code, qt.Equals, Failure)
	code, _, _ = fixture.run("status")
	fixture.Assert(code, qt.Equals, Invalid)
}

func TestServe(t *testing.T) {
	fixture := newFixture(t)
	issuer, err := certs.NewIssuer(time.Hour)
	fixture.Assert(err, qt.IsNil)
	files, err := issuer.Issue(fixture.dir, "fukuoka-1")
	fixture.Assert(err, qt.IsNil)
	path := fixture.file("settings.json", config.Settings{
		VM:     "fukuoka-1",
		Domain: "fukuoka",
		Caller: config.Caller{Address: "127.0.0.1:1"},
		Peer: config.Peer{
			Address:     "127.0.0.1:2",
			Certificate: files.Certificate,
			PrivateKey:  files.PrivateKey,
			Authority:   files.Authority,
		},
		Operator:     config.Operator{Address: "127.0.0.1:3"},
		Platform:     config.Platform{URL: "http://127.0.0.1:4"},
		Backend:      config.Backend{User: "spool", PasswordFile: files.PrivateKey},
		Log:          config.Log{Level: "error"},
		DrainTimeout: spool.Duration(time.Second),
	})
	var served config.Settings
	program := New(WithServer(ServerFunc(func(_ context.Context, settings config.Settings, _ *zap.Logger) error {
		served = settings
		return nil
	})))
	fixture.Assert(program.Run(context.Background(), []string{"serve", "--settings", path}), qt.Equals, Success)
	fixture.Assert(served.VM, qt.Equals, spool.VM("fukuoka-1"))
	code, _, errors := fixture.run("serve", "--settings", fixture.file("bad.json", config.Settings{}))
	fixture.Assert(code, qt.Equals, Invalid)
	fixture.Assert(errors, qt.Contains, "Platform.URL")
}

func TestVersion(t *testing.T) {
	fixture := newFixture(t)
	code, output, _ := fixture.run("version")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Matches, `corianderspool 0\.1\.0 \(go.*\)\n`)
	code, output, _ = fixture.run("version", "--json")
	fixture.Assert(code, qt.Equals, Success)
	fixture.Assert(output, qt.Contains, `"Version": "0.1.0"`)
}

func TestEveryCommandHasExamples(t *testing.T) {
	c := qt.New(t)
	program := New()
	for _, command := range program.commands() {
		c.Assert(command.AdditionalHelpAppend, qt.Contains, "  corianderspool "+command.Name)
		c.Assert(command.AdditionalHelpAppend, qt.Contains, "Exit codes: 0")
	}
}

func TestInvalidArgumentsExit(t *testing.T) {
	for _, arguments := range [][]string{{"bogus"}, {"push"}, {"check", "--bogus"}, {"verifier", "--iterations"}} {
		t.Run(strings.Join(arguments, " "), func(t *testing.T) {
			c := qt.New(t)
			defer func() { c.Assert(fmt.Sprint(recover()), qt.Matches, ".*code: 2.*") }()
			New().Run(context.Background(), arguments)
		})
	}
}
