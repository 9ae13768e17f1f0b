package demo

import (
	"fmt"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

const (
	partner           = "kyushu"
	group             = partner + ".renewals"
	route             = partner + ".renewals"
	team              = partner + ".counter"
	dialect           = "register"
	teamRatePerSecond = 5000
	teamBurst         = 1000
	serverSlots       = 3
	serverConnections = 20
	routeTimeout      = 5 * time.Second
	keyIterations     = 4096
)

// Manifest returns the manifest that the demo pushes; the named keys are marked as withdrawn.
func (plan Plan) Manifest(withdrawn ...string) (spool.Manifest, error) {
	manifest := spool.Manifest{
		Partner: partner,
		Teams:   []spool.TeamSpec{{Name: team, RatePerSecond: teamRatePerSecond, Burst: teamBurst}},
		Groups:  []spool.GroupSpec{{Name: group, Dialect: dialect, Servers: plan.serverSpecs()}},
		Routes: []spool.RouteSpec{{
			Name:       route,
			Group:      group,
			Teams:      []spool.Team{team},
			Reads:      []string{"GET", "LIST"},
			Idempotent: []string{"GET", "LIST"},
			Timeout:    spool.Duration(routeTimeout),
			Durable:    true,
		}},
	}
	for _, key := range plan.Keys {
		verifier, err := newVerifier(key)
		if err != nil {
			return manifest, err
		}
		spec := spool.KeySpec{Name: key.Name, Team: team, Verifier: verifier}
		for _, name := range withdrawn {
			spec.Withdrawn = spec.Withdrawn || name == key.Name
		}
		manifest.Keys = append(manifest.Keys, spec)
	}
	return manifest, nil
}

func (plan Plan) serverSpecs() []spool.ServerSpec {
	specs := []spool.ServerSpec{}
	for _, server := range plan.Servers {
		specs = append(specs, spool.ServerSpec{
			Name:        spool.Server(partner + "." + server.Name),
			Address:     server.Address,
			Domain:      server.Domain,
			Slots:       serverSlots,
			Connections: serverConnections,
		})
	}
	return specs
}

// newVerifier returns the SCRAM verifier that a manifest holds instead of a key's secret.
func newVerifier(key Key) (string, error) {
	client, err := scram.SHA256.NewClient(key.Name, key.Secret, "")
	if err != nil {
		return "", eris.Wrapf(err, "verifier of key %s", key.Name)
	}
	salt := fmt.Sprintf("%-16.16s", key.Name)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: keyIterations})
	if err != nil {
		return "", eris.Wrapf(err, "verifier of key %s", key.Name)
	}
	return spool.Verifier{
		Iterations: keyIterations,
		Salt:       []byte(salt),
		StoredKey:  stored.StoredKey,
		ServerKey:  stored.ServerKey,
	}.String(), nil
}
