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

// bench is a platform and a folder for one test.
type bench struct {
	*qt.C
	server *objsrv.Server
	client *objapi.Client
	dir    string
}

func newBench(t *testing.T) *bench {
	c := qt.New(t)
	server := objsrv.New()
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	client := objapi.New(server.URL(), objapi.WithTimeout(time.Second))
	c.Cleanup(client.Close)
	return &bench{C: c, server: server, client: client, dir: c.TempDir()}
}

// run carries out a command line and returns its exit code, output and error output.
func (bench *bench) run(arguments ...string) (code Code, output, errors string) {
	return bench.runInput("", arguments...)
}

func (bench *bench) runInput(input string, arguments ...string) (code Code, output, errors string) {
	var outputBuffer, errorBuffer bytes.Buffer
	program := New(
		WithStreams(strings.NewReader(input), &outputBuffer, &errorBuffer),
		WithActor("tester"),
		WithConnect(func(string, string) spool.Platform { return bench.client }),
	)
	code = program.Run(context.Background(), arguments)
	return code, outputBuffer.String(), errorBuffer.String()
}

func (bench *bench) file(name string, value any) string {
	body, err := json.Marshal(value)
	bench.Assert(err, qt.IsNil)
	path := filepath.Join(bench.dir, name)
	bench.Assert(os.WriteFile(path, body, 0o600), qt.IsNil)
	return path
}

func (bench *bench) stored() spool.Manifest {
	object, err := bench.client.Get(context.Background(), spool.KindManifest, "kyushu")
	bench.Assert(err, qt.IsNil)
	manifest, faults := policy.ParseManifest("kyushu", object.Body)
	bench.Assert(faults, qt.HasLen, 0)
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
	bench := newBench(t)
	manifest := testManifest("kyushu.counter-1")
	first := bench.file("first.json", manifest)
	manifest.Teams[0].Burst = 200
	second := bench.file("second.json", manifest)

	code, output, _ := bench.run("push", first, "--platform", "x", "--base", "0")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Equals, "accepted: manifest of kyushu has version 1\n")

	code, output, _ = bench.run("push", first, "--platform", "x")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Equals, "unchanged: manifest of kyushu has version 1\n")

	code, output, errors := bench.run("push", second, "--platform", "x", "--base", "0")
	bench.Assert(code, qt.Equals, Conflict)
	bench.Assert(output, qt.Equals, "conflict: manifest of kyushu has version 1\n")
	bench.Assert(errors, qt.Contains, "object has another version: 1")
	bench.Assert(bench.stored().Teams[0].Burst, qt.Equals, 100.0)

	code, output, _ = bench.run("push", second, "--platform", "x", "--base", "1", "--json")
	bench.Assert(code, qt.Equals, Success)
	var result update
	bench.Assert(json.Unmarshal([]byte(output), &result), qt.IsNil)
	bench.Assert(result.Outcome, qt.Equals, outcomeAccepted)
	bench.Assert(result.Version > 1, qt.IsTrue)
	bench.Assert(bench.stored().Teams[0].Burst, qt.Equals, 200.0)
}

func TestPushRefusesInvalid(t *testing.T) {
	bench := newBench(t)
	manifest := testManifest()
	manifest.Teams[0].RatePerSecond = 0
	code, _, errors := bench.run("push", bench.file("m.json", manifest), "--platform", "x")
	bench.Assert(code, qt.Equals, Invalid)
	bench.Assert(errors, qt.Contains, "Teams[0].RatePerSecond: exclusiveMinimum")
	bench.Assert(bench.server.Calls().Total(), qt.Equals, 0)
	for _, arguments := range [][]string{
		{"push", filepath.Join(bench.dir, "none"), "--platform", "x"},
		{"push", bench.file("ok.json", testManifest())},
		{"push", bench.file("ok.json", testManifest()), "--platform", "x", "--base", "new"},
		{"push", bench.file("ok.json", testManifest()), "--platform", "x", "--token-file", "none"},
		{"push", bench.file("ok.json", testManifest()), "--platform", "x", "--actor", ""},
	} {
		code, _, _ := bench.run(arguments...)
		bench.Assert(code, qt.Equals, Invalid, qt.Commentf("%v", arguments))
	}
}

func TestPushConcludesAfterLostAnswer(t *testing.T) {
	bench := newBench(t)
	path := bench.file("m.json", testManifest())
	bench.server.SetFaults(objsrv.Faults{LoseAnswers: 1})
	time.AfterFunc(500*time.Millisecond, func() { bench.server.SetFaults(objsrv.Faults{}) })
	code, output, errors := bench.run("push", path, "--platform", "x")
	bench.Assert(code, qt.Equals, Success, qt.Commentf("%s%s", output, errors))
	bench.Assert(output, qt.Equals, "accepted: manifest of kyushu has version 1\n")
}

func TestPushDoesNotBringBackWithdrawnKeys(t *testing.T) {
	bench := newBench(t)
	path := bench.file("m.json", testManifest("kyushu.counter-1", "kyushu.counter-2"))
	code, _, _ := bench.run("push", path, "--platform", "x")
	bench.Assert(code, qt.Equals, Success)
	code, _, _ = bench.run("withdraw", "kyushu.counter-1", "--platform", "x")
	bench.Assert(code, qt.Equals, Success)

	code, _, errors := bench.run("push", path, "--platform", "x")
	bench.Assert(code, qt.Equals, Conflict)
	bench.Assert(errors, qt.Contains, "brings back withdrawn keys: kyushu.counter-1")
	bench.Assert(bench.stored().Keys[0].Withdrawn, qt.IsTrue)

	code, _, _ = bench.run("push", path, "--platform", "x", "--restore-keys")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(bench.stored().Keys[0].Withdrawn, qt.IsFalse)
}

func TestWithdraw(t *testing.T) {
	bench := newBench(t)
	code, _, errors := bench.run("withdraw", "kyushu.counter-1", "--platform", "x")
	bench.Assert(code, qt.Equals, Invalid)
	bench.Assert(errors, qt.Contains, "the partner has no manifest")
	_, _, _ = bench.run("push", bench.file("m.json", testManifest("kyushu.counter-1")), "--platform", "x")
	code, _, errors = bench.run("withdraw", "kyushu.none", "--platform", "x")
	bench.Assert(code, qt.Equals, Invalid)
	bench.Assert(errors, qt.Contains, "the manifest has no key kyushu.none")
	code, _, _ = bench.run("withdraw", "kyushu", "--platform", "x")
	bench.Assert(code, qt.Equals, Invalid)
	code, output, _ := bench.run("withdraw", "kyushu.counter-1", "--platform", "x")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Contains, "accepted")
	code, output, _ = bench.run("withdraw", "kyushu.counter-1", "--platform", "x")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Contains, "unchanged")
}

func TestWithdrawalsRace(t *testing.T) {
	bench := newBench(t)
	var keys []string
	for i := range 6 {
		keys = append(keys, fmt.Sprintf("kyushu.counter-%d", i))
	}
	_, _, _ = bench.run("push", bench.file("m.json", testManifest(keys...)), "--platform", "x")
	bench.server.SetFaults(objsrv.Faults{LoseAnswers: 0.2, Latency: spool.Duration(2 * time.Millisecond)})
	codes := make([]Code, len(keys))
	var group sync.WaitGroup
	for i, key := range keys {
		group.Go(func() { codes[i], _, _ = bench.run("withdraw", key, "--platform", "x") })
	}
	group.Wait()
	bench.server.SetFaults(objsrv.Faults{})
	for i, key := range bench.stored().Keys {
		bench.Assert(codes[i], qt.Equals, Success)
		bench.Assert(key.Withdrawn, qt.IsTrue)
	}
}

func TestAuditShowsChanges(t *testing.T) {
	bench := newBench(t)
	_, _, _ = bench.run("push", bench.file("m.json", testManifest("kyushu.counter-1")), "--platform", "x")
	_, _, _ = bench.run("withdraw", "kyushu.counter-1", "--platform", "x", "--actor", "desk")
	code, output, _ := bench.run("audit", "--platform", "x")
	bench.Assert(code, qt.Equals, Success)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	bench.Assert(lines, qt.HasLen, 3)
	bench.Assert(lines[1], qt.Matches, `.* tester +Push +Manifest/kyushu +1 +teams \[kyushu.counter\]`)
	bench.Assert(lines[2], qt.Matches, `.* desk +Withdraw +Manifest/kyushu +\d+ +withdrawn \[kyushu.counter-1\]`)
	code, output, _ = bench.run("audit", "--platform", "x", "--json")
	bench.Assert(code, qt.Equals, Success)
	var entries []map[string]any
	bench.Assert(json.Unmarshal([]byte(output), &entries), qt.IsNil)
	bench.Assert(entries, qt.HasLen, 2)
}

func TestCheck(t *testing.T) {
	bench := newBench(t)
	good := bench.file("good.json", testManifest())
	code, output, _ := bench.run("check", "--manifest", good)
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Equals, "no faults\n")
	manifest := testManifest("kyushu.a")
	manifest.Teams[0].Burst = 0
	manifest.Keys[0].Team = "kyushu.none"
	bad := bench.file("bad.json", manifest)
	settings := bench.file("settings.json", config.Settings{VM: "a"})
	code, output, _ = bench.run("check", "--settings", settings, "--manifest", good, "--manifest", bad, "--json")
	bench.Assert(code, qt.Equals, Invalid)
	var faults []fileFault
	bench.Assert(json.Unmarshal([]byte(output), &faults), qt.IsNil)
	paths := map[string]bool{}
	for _, fault := range faults {
		paths[filepath.Base(fault.File)+" "+fault.Path] = true
	}
	for _, want := range []string{"bad.json Teams[0].Burst", "bad.json Keys[0].Team", "settings.json Platform.URL"} {
		bench.Assert(paths[want], qt.IsTrue, qt.Commentf("%s in %v", want, paths))
	}
	code, _, _ = bench.run("check")
	bench.Assert(code, qt.Equals, Invalid)
}

func TestVerifierMatchesItsSecret(t *testing.T) {
	bench := newBench(t)
	code, output, _ := bench.runInput("pa55 w0rd long\n", "verifier")
	bench.Assert(code, qt.Equals, Success)
	verifier, err := spool.ParseVerifier(strings.TrimSpace(output))
	bench.Assert(err, qt.IsNil)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
			StoredKey:  verifier.StoredKey,
			ServerKey:  verifier.ServerKey,
		}, nil
	})
	bench.Assert(err, qt.IsNil)
	bench.Assert(converse(bench.C, server, "pa55 w0rd long"), qt.IsTrue)
	bench.Assert(converse(bench.C, server, "pa55 w0rd lonG"), qt.IsFalse)
	for _, input := range []string{"", "short", strings.Repeat("x", 2000)} {
		code, output, _ = bench.runInput(input, "verifier")
		bench.Assert(code, qt.Equals, Invalid)
		bench.Assert(output, qt.Equals, "")
	}
	code, _, _ = bench.runInput("pa55 w0rd long", "verifier", "--iterations", "1")
	bench.Assert(code, qt.Equals, Invalid)
}

func converse(c *qt.C, server *scram.Server, secret string) bool {
	client, err := scram.SHA256.NewClient("user", secret, "")
	c.Assert(err, qt.IsNil)
	callerSide, serverSide := client.NewConversation(), server.NewConversation()
	message := ""
	for !callerSide.Done() {
		message, err = callerSide.Step(message)
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
	bench := newBench(t)
	status := spool.Status{
		VM:     "fukuoka-1",
		Groups: []spool.GroupStatus{{Group: "kyushu.records", Term: 7, Primary: "kyushu.records-2", Leader: "fukuoka-1", Open: true}},
		Teams:  []spool.TeamStatus{{Team: "kyushu.counter", Owner: "kumamoto-1", RatePerSecond: 50, Burst: 100}},
	}
	handler := func(writer http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(writer).Encode(status) }
	server := httptest.NewServer(http.HandlerFunc(handler))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, output, _ := bench.run("status", "--operator", address)
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Matches, `(?s).*kyushu.records +7 +kyushu.records-2 +fukuoka-1 +true.*kyushu.counter +kumamoto-1 +50 +100.*`)
	code, output, _ = bench.run("status", "--operator", address, "--json")
	bench.Assert(code, qt.Equals, Success)
	var read spool.Status
	bench.Assert(json.Unmarshal([]byte(output), &read), qt.IsNil)
	bench.Assert(read, qt.DeepEquals, status)
	server.Close()
	code, _, _ = bench.run("status", "--operator", address)
	bench.Assert(code, qt.Equals, Failure)
	code, _, _ = bench.run("status")
	bench.Assert(code, qt.Equals, Invalid)
}

func TestServe(t *testing.T) {
	bench := newBench(t)
	issuer, err := certs.NewIssuer(time.Hour)
	bench.Assert(err, qt.IsNil)
	files, err := issuer.Issue(bench.dir, "fukuoka-1")
	bench.Assert(err, qt.IsNil)
	path := bench.file("settings.json", config.Settings{
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
	var got config.Settings
	program := New(WithServer(ServerFunc(func(_ context.Context, settings config.Settings, _ *zap.Logger) error {
		got = settings
		return nil
	})))
	bench.Assert(program.Run(context.Background(), []string{"serve", "--settings", path}), qt.Equals, Success)
	bench.Assert(got.VM, qt.Equals, spool.VM("fukuoka-1"))
	code, _, errors := bench.run("serve", "--settings", bench.file("bad.json", config.Settings{}))
	bench.Assert(code, qt.Equals, Invalid)
	bench.Assert(errors, qt.Contains, "Platform.URL")
}

func TestVersion(t *testing.T) {
	bench := newBench(t)
	code, output, _ := bench.run("version")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Matches, `corianderspool 0\.1\.0 \(go.*\)\n`)
	code, output, _ = bench.run("version", "--json")
	bench.Assert(code, qt.Equals, Success)
	bench.Assert(output, qt.Contains, `"Version": "0.1.0"`)
}

func TestEveryCommandHasExamples(t *testing.T) {
	c := qt.New(t)
	program := New()
	for _, command := range program.commands() {
		c.Assert(command.AdditionalHelpAppend, qt.Contains, "  corianderspool "+command.Name)
		c.Assert(command.AdditionalHelpAppend, qt.Contains, "Exit codes: 0")
	}
}

func TestWrongArgumentsExit(t *testing.T) {
	for _, arguments := range [][]string{{"bogus"}, {"push"}, {"check", "--bogus"}, {"verifier", "--iterations"}} {
		t.Run(strings.Join(arguments, " "), func(t *testing.T) {
			c := qt.New(t)
			defer func() { c.Assert(fmt.Sprint(recover()), qt.Matches, ".*code: 2.*") }()
			New().Run(context.Background(), arguments)
		})
	}
}
