package demo

import (
	"path/filepath"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/pkg/spool"
)

const passwordFile = "password"

// settings returns the settings of one proxy; file names are relative to the settings file.
func (plan Plan) settings(proxy Process, operatorAddress string, files certs.Files) config.Settings {
	certificate := filepath.Base(files.Certificate)
	privateKey := filepath.Base(files.PrivateKey)
	return config.Settings{
		VM:     spool.VM(proxy.Name),
		Domain: proxy.Domain,
		Caller: config.Caller{
			Address:     proxy.Address,
			Certificate: certificate,
			PrivateKey:  privateKey,
		},
		Peer: config.Peer{
			Address:     proxy.Control,
			Certificate: certificate,
			PrivateKey:  privateKey,
			Authority:   filepath.Base(files.Authority),
			Seeds:       plan.seeds(proxy),
		},
		Operator: config.Operator{Address: operatorAddress},
		Platform: config.Platform{URL: "http://" + plan.Platform},
		Backend: config.Backend{
			User:         plan.BackendUser,
			PasswordFile: passwordFile,
		},
		Log:          config.Log{Level: config.DefaultLogLevel},
		DrainTimeout: spool.Duration(drainTimeout),
	}
}

// seeds returns the peer addresses of the other proxies.
func (plan Plan) seeds(proxy Process) []string {
	seeds := []string{}
	for _, other := range plan.Proxies {
		if other.Name != proxy.Name {
			seeds = append(seeds, other.Control)
		}
	}
	return seeds
}
