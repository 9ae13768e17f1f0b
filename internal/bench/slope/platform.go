package slope

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/internal/fake/ports"
	"corianderspool.example/spool/internal/node"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
)

const (
	startDuration  = 3 * time.Second // covers start-up and the creation or change of the quorum
	steadyDuration = 3 * time.Second
	watchWait      = 1 * time.Second
)

func platformMeasures() []measure {
	counts := []int{2, 4, 8}
	measures := []measure{
		newMeasure("StartReads", "proxies that start in one failure domain", "reads of the platform", counts, startReads),
		newMeasure("StartWrites", "proxies that start in one failure domain", "writes to the platform", counts, startWrites),
		newMeasure("WatchDomains", "failure domains of one proxy", "watches a second", counts, watchDomains),
		newMeasure("WatchMembers", "proxies of one failure domain", "watches a second", counts, watchMembers),
		newMeasure("SteadyReads", "failure domains of one proxy", "reads and writes a second besides watches", counts, steadyReads),
	}
	for i := range measures {
		measures[i].singleRound = true
	}
	return measures
}

// callCounts holds the platform calls of a fleet during start-up and in steady state.
type callCounts struct {
	starting objsrv.Calls
	steady   objsrv.Calls
}

// runFleet runs proxies against a fake platform, all in this process, and counts their calls.
func runFleet(vms int, domain func(index int) spool.Domain) (callCounts, error) {
	platform := objsrv.New()
	if err := platform.Start(); err != nil {
		return callCounts{}, err
	}
	defer func() { _ = platform.Close() }()
	allSettings, err := proxySettings(vms, domain, platform.URL())
	if err != nil {
		return callCounts{}, err
	}
	defer func() { _ = os.RemoveAll(filepath.Dir(allSettings[0].Backend.PasswordFile)) }()
	members := []spool.Member{}
	for _, settings := range allSettings {
		members = append(members, spool.Member{VM: settings.VM, Domain: settings.Domain, Address: settings.Peer.Address})
	}
	platform.SetMembers(members)
	stop, err := startProxies(allSettings, platform.URL())
	if err != nil {
		return callCounts{}, err
	}
	defer stop()
	time.Sleep(startDuration)
	starting := platform.Calls()
	time.Sleep(steadyDuration)
	steady := platform.Calls()
	steady.Get -= starting.Get
	steady.List -= starting.List
	steady.Put -= starting.Put
	steady.Watch -= starting.Watch
	return callCounts{starting: starting, steady: steady}, nil
}

func proxySettings(vms int, domain func(index int) spool.Domain, url string) ([]config.Settings, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, eris.Wrap(err, "create a directory for certificates")
	}
	issuer, err := certs.NewIssuer(time.Hour)
	if err != nil {
		return nil, err
	}
	password := filepath.Join(dir, "password")
	if err := os.WriteFile(password, []byte("spool"), 0o600); err != nil {
		return nil, eris.Wrap(err, "write the password file")
	}
	addresses, err := ports.FreeAddresses(2 * vms)
	if err != nil {
		return nil, err
	}
	allSettings := []config.Settings{}
	for i := range vms {
		member := memberAt(i)
		files, err := issuer.Issue(dir, member.VM)
		if err != nil {
			return nil, err
		}
		allSettings = append(allSettings, config.Settings{
			VM: member.VM, Domain: domain(i),
			Caller: config.Caller{Address: addresses[2*i]},
			Peer: config.Peer{
				Address: addresses[2*i+1], Certificate: files.Certificate,
				PrivateKey: files.PrivateKey, Authority: files.Authority,
			},
			Platform:     config.Platform{URL: url},
			Backend:      config.Backend{User: "spool", PasswordFile: password},
			DrainTimeout: spool.Duration(time.Second),
		})
	}
	return allSettings, nil
}

func startProxies(allSettings []config.Settings, url string) (stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	for _, settings := range allSettings {
		platform := objapi.New(url, objapi.WithWatchWait(watchWait))
		proxy, err := node.New(settings, platform, zap.NewNop())
		if err != nil {
			stop()
			return nil, err
		}
		running.Go(func() { _ = proxy.Run(ctx) })
	}
	return stop, nil
}

func sharedDomain(int) spool.Domain { return selfDomain }

func domainOfIndex(index int) spool.Domain { return memberAt(index).Domain }

func startReads(vms int) (float64, error) {
	counts, err := runFleet(vms, sharedDomain)
	return float64(counts.starting.Get + counts.starting.List), err
}

func startWrites(vms int) (float64, error) {
	counts, err := runFleet(vms, sharedDomain)
	return float64(counts.starting.Put), err
}

func watchDomains(vms int) (float64, error) {
	counts, err := runFleet(vms, domainOfIndex)
	return float64(counts.steady.Watch) / steadyDuration.Seconds(), err
}

func watchMembers(vms int) (float64, error) {
	counts, err := runFleet(vms, sharedDomain)
	return float64(counts.steady.Watch) / steadyDuration.Seconds(), err
}

func steadyReads(vms int) (float64, error) {
	counts, err := runFleet(vms, domainOfIndex)
	return float64(counts.steady.Get+counts.steady.List+counts.steady.Put) / steadyDuration.Seconds(), err
}
