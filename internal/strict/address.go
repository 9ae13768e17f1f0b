package strict

import (
	"errors"
	"fmt"
	"net/netip"
)

// ParseAddress parses an IP address with a nonzero port.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("address %q is not of the form ip:port", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("address %q has no port", text)
	}
	return address, nil
}

// ParsePeerAddress parses an address that other hosts can connect to: neither unspecified nor multicast.
func ParsePeerAddress(text string) (netip.AddrPort, error) {
	address, err := ParseAddress(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return netip.AddrPort{}, errors.New("address " + text + " is not one that others can connect to")
	}
	return address, nil
}
