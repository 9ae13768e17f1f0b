package demo

import (
	"path/filepath"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/pkg/spool"
)

// settings are the settings of one proxy, as its file holds them.
type settings struct {
	VM           spool.VM
	Domain       spool.Domain
	Caller       listener
	Peer         listener
	Operator     operator
	Platform     platform
	Backend      backend
	Log          logging
	DrainTimeout spool.Duration
}

type listener struct {
	Address     string
	Certificate string
	PrivateKey  string
	Authority   string `json:",omitempty"`
}

type operator struct {
	Address string
}

type platform struct {
	URL string
}

type backend struct {
	User         string
	PasswordFile string
}

type logging struct {
	Level string
}

func (plan Plan) settings(dir string, proxy Process, operatorAddress string, files certs.Files) settings {
	return settings{
		VM:     spool.VM(proxy.Name),
		Domain: proxy.Domain,
		Caller: listener{
			Address:     proxy.Address,
			Certificate: files.Certificate,
			PrivateKey:  files.PrivateKey,
		},
		Peer: listener{
			Address:     proxy.Control,
			Certificate: files.Certificate,
			PrivateKey:  files.PrivateKey,
			Authority:   files.Authority,
		},
		Operator: operator{Address: operatorAddress},
		Platform: platform{URL: "http://" + plan.Platform},
		Backend: backend{
			User:         plan.BackendUser,
			PasswordFile: filepath.Join(dir, "password"),
		},
		Log:          logging{Level: "info"},
		DrainTimeout: spool.Duration(drainTimeout),
	}
}
