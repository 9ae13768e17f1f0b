package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/fake/ports"
	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

const (
	planFile            = "plan.json"
	certificateLifetime = 24 * time.Hour
	drainTimeout        = 2 * time.Second
	dirMode             = 0o700
	fileMode            = 0o600
)

// Process is one server or proxy of the demo and its addresses.
type Process struct {
	Name    string
	Domain  spool.Domain
	Address string // for clients
	Control string // control port of a server, peer port of a proxy
}

// Plan lists the processes, their addresses and the secrets of the demo.
type Plan struct {
	Platform        string
	Servers         []Process
	Proxies         []Process
	BackendUser     string
	BackendPassword string
	Keys            []Key
}

// Key is the name and secret of a caller's key.
type Key struct {
	Name   string
	Secret string
}

// Prepare writes the plan, certificates, settings, manifest, list of VMs and shell variables into a directory.
func Prepare(dir string) error {
	plan, operatorAddresses, err := newPlan()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "creating the directory")
	}
	manifest, err := plan.Manifest()
	if err != nil {
		return err
	}
	files := map[string]any{
		planFile:        plan,
		"manifest.json": manifest,
		"members.json":  plan.members(),
	}
	issuer, err := certs.NewIssuer(certificateLifetime)
	if err != nil {
		return err
	}
	for i, proxy := range plan.Proxies {
		certificate, err := issuer.Issue(dir, spool.VM(proxy.Name))
		if err != nil {
			return err
		}
		files[proxy.Name+".json"] = plan.settings(proxy, operatorAddresses[i], certificate)
	}
	for name, content := range files {
		if err := writeJSON(filepath.Join(dir, name), content); err != nil {
			return err
		}
	}
	if err := writeText(filepath.Join(dir, passwordFile), plan.BackendPassword+"\n"); err != nil {
		return err
	}
	return writeText(filepath.Join(dir, "env.sh"), plan.shellVariables())
}

// LoadPlan reads the plan that Prepare wrote into a directory.
func LoadPlan(dir string) (Plan, error) {
	plan := Plan{}
	content, err := os.ReadFile(filepath.Join(dir, planFile))
	if err != nil {
		return plan, eris.Wrap(err, "reading the plan")
	}
	return plan, eris.Wrap(json.Unmarshal(content, &plan), "reading the plan")
}

// newPlan returns a plan with free ports and the operator addresses of the proxies.
func newPlan() (Plan, []string, error) {
	plan := Plan{
		BackendUser:     "spool",
		BackendPassword: "backend-secret",
		Keys: []Key{
			{Name: partner + ".counter1", Secret: "counter-secret"},
			{Name: partner + ".desk1", Secret: "desk-secret"},
		},
		Servers: []Process{
			{Name: "s1", Domain: "fukuoka"},
			{Name: "s2", Domain: "kumamoto"},
			{Name: "s3", Domain: "kagoshima"},
		},
		Proxies: []Process{
			{Name: "vm1", Domain: "fukuoka"},
			{Name: "vm2", Domain: "kumamoto"},
			{Name: "vm3", Domain: "kagoshima"},
		},
	}
	operatorAddresses := make([]string, len(plan.Proxies))
	targets := []*string{&plan.Platform}
	for i := range plan.Servers {
		targets = append(targets, &plan.Servers[i].Address, &plan.Servers[i].Control)
	}
	for i := range plan.Proxies {
		targets = append(targets, &plan.Proxies[i].Address, &plan.Proxies[i].Control, &operatorAddresses[i])
	}
	return plan, operatorAddresses, chooseAddresses(targets)
}

// chooseAddresses sets each target to a distinct free address.
func chooseAddresses(targets []*string) error {
	addresses, err := ports.FreeAddresses(len(targets))
	for i, address := range addresses {
		*targets[i] = address
	}
	return err
}

func (plan Plan) members() []spool.Member {
	members := []spool.Member{}
	for _, proxy := range plan.Proxies {
		members = append(members, spool.Member{
			VM:          spool.VM(proxy.Name),
			Domain:      proxy.Domain,
			Address:     proxy.Control,
			Incarnation: 1,
		})
	}
	return members
}

// shellVariables returns the addresses as variable assignments for a shell script.
func (plan Plan) shellVariables() string {
	builder := strings.Builder{}
	fmt.Fprintf(&builder, "PLATFORM=%s\n", plan.Platform)
	fmt.Fprintf(&builder, "BACKEND_USER=%s\n", plan.BackendUser)
	for _, server := range plan.Servers {
		fmt.Fprintf(&builder, "%s_ADDRESS=%s\n", strings.ToUpper(server.Name), server.Address)
		fmt.Fprintf(&builder, "%s_CONTROL=%s\n", strings.ToUpper(server.Name), server.Control)
	}
	return builder.String()
}

func writeJSON(path string, content any) error {
	text, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encoding %s", filepath.Base(path))
	}
	return writeText(path, string(text)+"\n")
}

func writeText(path, content string) error {
	return eris.Wrap(os.WriteFile(path, []byte(content), fileMode), "writing a file")
}
