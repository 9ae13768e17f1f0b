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
	startSpan  = 3 * time.Second // start, and the quorum's creation or change
	steadySpan = 3 * time.Second
	watchWait  = 1 * time.Second
)

func platformMeasures() []measure {
	counts := []int{2, 4, 8}
	measures := []measure{
		line("StartReads", "proxies that start in one failure domain", "reads of the platform", counts, startReads),
		line("StartWrites", "proxies that start in one failure domain", "writes to the platform", counts, startWrites),
		line("WatchDomains", "failure domains of one proxy", "watches a second", counts, watchDomains),
		line("WatchMembers", "proxies of one failure domain", "watches a second", counts, watchMembers),
		line("SteadyReads", "failure domains of one proxy", "reads and writes a second besides watches", counts, steadyReads),
	}
	for i := range measures {
		measures[i].once = true
	}
	return measures
}

// calls are the calls of a fleet from its start and after it has settled.
type calls struct {
	starting objsrv.Calls
	steady   objsrv.Calls
}

// runFleet runs proxies against a stand-in of the platform, all in this process.
func runFleet(vms int, domain func(index int) spool.Domain) (calls, error) {
	platform := objsrv.New()
	if err := platform.Start(); err != nil {
		return calls{}, err
	}
	defer func() { _ = platform.Close() }()
	all, err := settings(vms, domain, platform.URL())
	if err != nil {
		return calls{}, err
	}
	defer func() { _ = os.RemoveAll(filepath.Dir(all[0].Backend.PasswordFile)) }()
	members := []spool.Member{}
	for _, settings := range all {
		members = append(members, spool.Member{VM: settings.VM, Domain: settings.Domain, Address: settings.Peer.Address})
	}
	platform.SetMembers(members)
	stop, err := start(all, platform.URL())
	if err != nil {
		return calls{}, err
	}
	defer stop()
	time.Sleep(startSpan)
	starting := platform.Calls()
	time.Sleep(steadySpan)
	steady := platform.Calls()
	steady.Get -= starting.Get
	steady.List -= starting.List
	steady.Put -= starting.Put
	steady.Watch -= starting.Watch
	return calls{starting: starting, steady: steady}, nil
}

func settings(vms int, domain func(index int) spool.Domain, url string) ([]config.Settings, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, eris.Wrap(err, "make a folder for certificates")
	}
	issuer, err := certs.NewIssuer(time.Hour)
	if err != nil {
		return nil, err
	}
	password := filepath.Join(dir, "password")
	if err := os.WriteFile(password, []byte("spool"), 0o600); err != nil {
		return nil, eris.Wrap(err, "write the password")
	}
	addresses, err := ports.FreeAddresses(2 * vms)
	if err != nil {
		return nil, err
	}
	all := []config.Settings{}
	for i := range vms {
		member := memberAt(i)
		files, err := issuer.Issue(dir, member.VM)
		if err != nil {
			return nil, err
		}
		all = append(all, config.Settings{
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
	return all, nil
}

func start(all []config.Settings, url string) (stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	for _, settings := range all {
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

func oneDomain(int) spool.Domain { return domainOwn }

func ownDomains(index int) spool.Domain { return memberAt(index).Domain }

func startReads(vms int) (float64, error) {
	calls, err := runFleet(vms, oneDomain)
	return float64(calls.starting.Get + calls.starting.List), err
}

func startWrites(vms int) (float64, error) {
	calls, err := runFleet(vms, oneDomain)
	return float64(calls.starting.Put), err
}

func watchDomains(vms int) (float64, error) {
	calls, err := runFleet(vms, ownDomains)
	return float64(calls.steady.Watch) / steadySpan.Seconds(), err
}

func watchMembers(vms int) (float64, error) {
	calls, err := runFleet(vms, oneDomain)
	return float64(calls.steady.Watch) / steadySpan.Seconds(), err
}

func steadyReads(vms int) (float64, error) {
	calls, err := runFleet(vms, ownDomains)
	return float64(calls.steady.Get+calls.steady.List+calls.steady.Put) / steadySpan.Seconds(), err
}
