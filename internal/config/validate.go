package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

const maxDrainTimeout = 10 * time.Minute

// listener is a listen address of the proxy and its path in the settings.
type listener struct {
	path    string
	address netip.AddrPort
}

// validate checks the rules that the schema cannot express and returns the faults.
func (settings *Settings) validate() spool.Faults {
	var faults spool.Faults
	settings.checkListeners(&faults)
	settings.checkSeeds(&faults)
	settings.checkRequiredFiles(&faults)
	checkURL(settings.Platform.URL, &faults)
	if settings.DrainTimeout <= 0 || time.Duration(settings.DrainTimeout) > maxDrainTimeout {
		faults.Add("DrainTimeout", fmt.Sprintf("timeout is not above 0s and at most %v", maxDrainTimeout))
	}
	return faults
}

func (settings *Settings) checkListeners(faults *spool.Faults) {
	var listeners []listener
	add := func(path, text string, parse func(string) (netip.AddrPort, error)) {
		address, err := parse(text)
		if err != nil {
			faults.Add(path, err.Error())
			return
		}
		for _, other := range listeners {
			if overlaps(address, other.address) {
				faults.Add(path, fmt.Sprintf("address %s overlaps with %s", text, other.path))
			}
		}
		listeners = append(listeners, listener{path: path, address: address})
	}
	add("Caller.Address", settings.Caller.Address, strict.ParseAddress)
	add("Peer.Address", settings.Peer.Address, strict.ParsePeerAddress)
	add("Operator.Address", settings.Operator.Address, strict.ParseAddress)
}

// overlaps reports whether one process cannot listen on both addresses.
func overlaps(left, right netip.AddrPort) bool {
	if left.Port() != right.Port() {
		return false
	}
	return left.Addr() == right.Addr() || left.Addr().IsUnspecified() || right.Addr().IsUnspecified()
}

func (settings *Settings) checkSeeds(faults *spool.Faults) {
	seen := map[netip.AddrPort]string{}
	for i, seed := range settings.Peer.Seeds {
		path := strict.IndexPath("Peer.Seeds", i)
		address, err := strict.ParsePeerAddress(seed)
		if err != nil {
			faults.Add(path, err.Error())
			continue
		}
		if first, found := seen[address]; found {
			faults.Add(path, fmt.Sprintf("address %s is given already at %s", seed, first))
		}
		seen[address] = path
	}
}

func (settings *Settings) checkRequiredFiles(faults *spool.Faults) {
	if (settings.Caller.Certificate == "") != (settings.Caller.PrivateKey == "") {
		faults.Add("Caller.Certificate", "certificate and private key are given together or not at all")
	}
	required := []struct{ path, file string }{
		{"Peer.Certificate", settings.Peer.Certificate},
		{"Peer.PrivateKey", settings.Peer.PrivateKey},
		{"Peer.Authority", settings.Peer.Authority},
		{"Backend.PasswordFile", settings.Backend.PasswordFile},
	}
	for _, field := range required {
		if field.file == "" {
			faults.Add(field.path, "file is not given")
		}
	}
}

func checkURL(text string, faults *spool.Faults) {
	address, err := url.Parse(text)
	if err != nil || address.Host == "" || address.Scheme != "http" && address.Scheme != "https" {
		faults.Add("Platform.URL", fmt.Sprintf("%q is not an http or https URL", text))
		return
	}
	if address.User != nil {
		faults.Add("Platform.URL", "URL holds credentials; they belong into TokenFile")
	}
}
