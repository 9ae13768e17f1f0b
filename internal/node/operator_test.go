package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/cmds"
	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/pkg/spool"
)

const conditionTimeout = 15 * time.Second

func (fleet *fleet) waitFor(description string, condition func() bool) {
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		fleet.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", description))
		time.Sleep(20 * time.Millisecond)
	}
}

// getOperatorPath sends a GET request to a proxy's operator port and returns the status code (0 on an error) and body.
func (fleet *fleet) getOperatorPath(proxy int, path string) (int, string) {
	answer, err := http.Get("http://" + fleet.proxies[proxy].settings.Operator.Address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	fleet.c.Assert(err, qt.IsNil)
	return answer.StatusCode, string(body)
}

// runCommand runs a subcommand with --json and returns its decoded output.
func runCommand[Value any](fleet *fleet, arguments ...string) Value {
	var output, errorOutput bytes.Buffer
	program := cmds.New(
		cmds.WithStreams(strings.NewReader(""), &output, &errorOutput),
		cmds.WithConnect(func(string, string) spool.Platform { return fleet.client }),
	)
	code := program.Run(context.Background(), append(arguments, "--json"))
	fleet.c.Assert(code, qt.Equals, cmds.Success, qt.Commentf("%s", errorOutput.String()))
	var value Value
	fleet.c.Assert(json.Unmarshal(output.Bytes(), &value), qt.IsNil)
	return value
}

func (fleet *fleet) status(proxy int) spool.Status {
	return runCommand[spool.Status](fleet, "status", "--operator", fleet.proxies[proxy].settings.Operator.Address)
}

func TestStatusAndMetricsShowWholeFleet(t *testing.T) {
	fleet := newFleet(t, nil)
	c := fleet.c
	conn := fleet.mustConnect(0)
	for range 3 {
		_, err := conn.Exec(context.Background(), "GET nothing")
		c.Assert(err, qt.IsNil)
	}
	fleet.waitFor("all proxies show the whole fleet and one of them is the leader", func() bool {
		leaders := 0
		for i := range fleet.proxies {
			status := fleet.status(i)
			if !showsWholeFleet(status) {
				return false
			}
			if status.Groups[0].Leader == status.VM && status.Groups[0].Open && len(status.Groups[0].Servers) == 3 {
				leaders++
			}
		}
		return leaders == 1
	})
	for i := range fleet.proxies {
		code, body := fleet.getOperatorPath(i, "/readyz")
		c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		_, metrics := fleet.getOperatorPath(i, "/metrics")
		c.Check(fleet.seriesValue(i, `corianderspool_failovers_total{group="kyushu.db"}`), qt.Equals, 0)
		version := fleet.status(i).Manifests[0].Version
		c.Check(metrics, qt.Contains, fmt.Sprintf(`config_version{partner="kyushu"} %d`, version))
	}
	_, metrics := fleet.getOperatorPath(0, "/metrics")
	for _, series := range []string{
		`requests_total{team="kyushu.office",verdict="answered"}`, "corianderspool_sessions 1\n",
		`events_total{event="101"} 1`, `platform_calls_total{call="list",kind="Manifest",result="done"}`,
		"request_seconds_count", "peer_control_bytes_total",
	} {
		c.Check(metrics, qt.Contains, series)
	}
}

func showsWholeFleet(status spool.Status) bool {
	reached := 0
	for _, vm := range status.VMs {
		if vm.InReach && !vm.Leaving {
			reached++
		}
	}
	return reached == 3 && status.PlatformInReach && len(status.Quorum.Members) == 3 &&
		status.Manifests[0].Version > 0 && status.Teams[0].Owner != "" && status.Groups[0].Primary == "kyushu.s1"
}

func TestDrainingProxyIsNotReady(t *testing.T) {
	fleet := newFleet(t, nil)
	tx, err := fleet.mustConnect(0).Begin(context.Background())
	fleet.c.Assert(err, qt.IsNil)
	_, err = tx.Exec(context.Background(), "PUT a b")
	fleet.c.Assert(err, qt.IsNil)
	fleet.proxies[0].stop()
	fleet.waitFor("the draining proxy is not ready", func() bool {
		code, body := fleet.getOperatorPath(0, "/readyz")
		return code == http.StatusServiceUnavailable && strings.Contains(body, "shutting down")
	})
	fleet.c.Assert(fleet.status(0).Draining, qt.IsTrue)
	code, _ := fleet.getOperatorPath(1, "/readyz")
	fleet.c.Assert(code, qt.Equals, http.StatusOK)
	fleet.c.Assert(tx.Commit(context.Background()), qt.IsNil)
	fleet.c.Assert(<-fleet.proxies[0].done, qt.IsNil)
}

// seriesValue returns the value of a proxy's metric series, zero if there is none.
func (fleet *fleet) seriesValue(proxy int, series string) int {
	_, metrics := fleet.getOperatorPath(proxy, "/metrics")
	for line := range strings.Lines(metrics) {
		if text, found := strings.CutPrefix(line, series+" "); found {
			value, err := strconv.Atoi(strings.TrimSpace(text))
			fleet.c.Assert(err, qt.IsNil)
			return value
		}
	}
	return 0
}

func (fleet *fleet) eventCount(proxy, number int) int {
	return fleet.seriesValue(proxy, fmt.Sprintf(`corianderspool_events_total{event="%d"}`, number))
}

func (fleet *fleet) onAllProxies(condition func(proxy int) bool) func() bool {
	return func() bool {
		for i := range fleet.proxies {
			if !condition(i) {
				return false
			}
		}
		return true
	}
}

func TestPlatformOutageKeepsProxiesReadyAndIsLoggedOnce(t *testing.T) {
	fleet := newFleet(t, nil)
	inReach := func(i int) bool { return fleet.status(i).PlatformInReach }
	ready := func(i int) bool { code, _ := fleet.getOperatorPath(i, "/readyz"); return code == http.StatusOK }
	fleet.waitFor("the platform is in reach", fleet.onAllProxies(inReach))
	fleet.platform.SetFaults(objsrv.Faults{DownFor: spool.Duration(time.Hour)})
	fleet.waitFor("all proxies show the outage", fleet.onAllProxies(func(i int) bool { return !inReach(i) }))
	fleet.c.Assert(fleet.onAllProxies(ready)(), qt.IsTrue)
	fleet.waitFor("each proxy logged the outage",
		fleet.onAllProxies(func(i int) bool { return fleet.eventCount(i, 701) == 1 }))
	fleet.platform.SetFaults(objsrv.Faults{})
	fleet.waitFor("each proxy logged that the platform is reachable",
		fleet.onAllProxies(func(i int) bool { return inReach(i) && fleet.eventCount(i, 702) == 1 }))
	fleet.c.Assert(fleet.onAllProxies(func(i int) bool {
		return fleet.eventCount(i, 701) == 1 && fleet.eventCount(i, 702) == 1
	})(), qt.IsTrue)
}

// TestFleetRestartedInPlatformOutageBecomesReadyAfterIt guards against proxies that are ready before they know the
// manifests, and against duplicate audit entries after a restart.
func TestFleetRestartedInPlatformOutageBecomesReadyAfterIt(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.waitFor("the manifest is in the audit trail",
		func() bool { return fleet.auditCounts()[audit.ActionAccept] == 1 })
	for _, proxy := range fleet.proxies {
		proxy.stop()
		fleet.c.Assert(<-proxy.done, qt.IsNil)
	}
	fleet.platform.SetFaults(objsrv.Faults{DownFor: spool.Duration(time.Hour)})
	for i, proxy := range fleet.proxies {
		fleet.startProxy(proxy)
		fleet.waitFor("the operator port is open",
			func() bool { code, _ := fleet.getOperatorPath(i, "/healthz"); return code > 0 })
		code, body := fleet.getOperatorPath(i, "/readyz")
		fleet.c.Assert(code, qt.Equals, http.StatusServiceUnavailable)
		fleet.c.Assert(body, qt.Equals, "the manifests are not known yet\n")
	}
	fleet.platform.SetFaults(objsrv.Faults{})
	fleet.waitFor("all are ready", fleet.onAllProxies(func(i int) bool {
		code, _ := fleet.getOperatorPath(i, "/readyz")
		return code == http.StatusOK
	}))
	fleet.waitFor("the first-ranked proxy tried to record the manifest again", func() bool {
		refused := 0
		for i := range fleet.proxies {
			refused += fleet.seriesValue(i, `corianderspool_platform_calls_total{call="put",kind="Audit",result="conflict"}`)
		}
		return refused > 0
	})
	fleet.c.Assert(fleet.auditCounts()[audit.ActionAccept], qt.Equals, 1)
}

func TestIsolatedProxyIsNotReady(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.waitFor("all three proxies are witnesses", func() bool { return len(fleet.status(0).Quorum.Members) == 3 })
	fleet.platform.SetFaults(objsrv.Faults{DownFor: spool.Duration(time.Hour)})
	for _, proxy := range fleet.proxies[1:] {
		proxy.stop()
		fleet.c.Assert(<-proxy.done, qt.IsNil)
	}
	fleet.waitFor("the remaining proxy is not ready", func() bool {
		code, body := fleet.getOperatorPath(0, "/readyz")
		return code == http.StatusServiceUnavailable && strings.Contains(body, "cut off")
	})
}

func TestAuditTrailRecordsEachChangeOnce(t *testing.T) {
	fleet := newFleet(t, nil)
	valid := fleet.manifest
	fleet.manifest.Partner = "other"
	fleet.putManifest()
	fleet.waitFor("the manifest is rejected", func() bool { return fleet.status(1).Manifests[0].Refused > 0 })
	fleet.manifest = valid
	fleet.manifest.Keys[0].Withdrawn = true
	fleet.putManifest()
	fleet.servers[0].Close()
	fleet.waitFor("all changes are in the audit trail", func() bool {
		counts := fleet.auditCounts()
		return counts[audit.ActionAccept] >= 2 && counts[audit.ActionReject] > 0 && counts[audit.ActionEndKeys] > 0 &&
			counts[audit.ActionPromote] > 0 && counts[audit.ActionQuorum] > 0
	})
	time.Sleep(time.Second)
	counts := fleet.auditCounts()
	fleet.c.Check(counts[audit.ActionAccept], qt.Equals, 2)
	fleet.c.Check(counts[audit.ActionReject], qt.Equals, 1)
	fleet.c.Check(counts[audit.ActionEndKeys], qt.Equals, 1)
	failovers := 0
	for i := range fleet.proxies {
		_, metrics := fleet.getOperatorPath(i, "/metrics")
		failovers += fleet.seriesValue(i, `corianderspool_failovers_total{group="kyushu.db"}`)
		fleet.c.Check(metrics, qt.Contains, `events_total{event="503"} 1`)
		fleet.c.Check(metrics, qt.Contains, "corianderspool_audit_entries_lost_total 0")
	}
	fleet.c.Check(failovers, qt.Equals, counts[audit.ActionPromote])
}

// auditCounts returns the number of audit entries by action.
func (fleet *fleet) auditCounts() map[string]int {
	counts := map[string]int{}
	for _, entry := range runCommand[[]audit.Entry](fleet, "audit", "--platform", fleet.platform.URL()) {
		counts[entry.Action]++
	}
	return counts
}
