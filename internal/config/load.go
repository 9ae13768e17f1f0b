package config

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

const maxSettingsBytes = 64 << 10

//go:embed settings.schema.json
var schemaText []byte

var schema = strict.NewSchema("settings.schema.json", schemaText)

// Load reads and validates settings and the files that they refer to; file paths are relative to the settings file.
func Load(path string) (Settings, spool.Faults) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, spool.Faults{{Reason: fmt.Sprintf("settings cannot be read: %v", err)}}
	}
	settings, faults := Parse(body)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	settings.resolvePaths(filepath.Dir(path))
	faults = settings.checkFiles()
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return settings, nil
}

// Parse decodes and validates settings without checking the files that they refer to.
func Parse(body []byte) (Settings, spool.Faults) {
	if len(body) > maxSettingsBytes {
		reason := fmt.Sprintf("settings have %d bytes, more than %d", len(body), maxSettingsBytes)
		return Settings{}, spool.Faults{{Reason: reason}}
	}
	settings := Settings{Log: Log{Level: DefaultLogLevel}, DrainTimeout: DefaultDrainTimeout}
	faults, decoded := schema.Decode(body, &settings)
	if !decoded {
		return Settings{}, strict.MergeFaults(faults, nil)
	}
	faults = strict.MergeFaults(faults, settings.validate())
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return settings, nil
}

// filePaths returns the settings that contain file paths, by their path in the document.
func (settings *Settings) filePaths() map[string]*string {
	return map[string]*string{
		"Caller.Certificate":   &settings.Caller.Certificate,
		"Caller.PrivateKey":    &settings.Caller.PrivateKey,
		"Peer.Certificate":     &settings.Peer.Certificate,
		"Peer.PrivateKey":      &settings.Peer.PrivateKey,
		"Peer.Authority":       &settings.Peer.Authority,
		"Platform.TokenFile":   &settings.Platform.TokenFile,
		"Backend.PasswordFile": &settings.Backend.PasswordFile,
		"Backend.Authority":    &settings.Backend.Authority,
	}
}

// resolvePaths resolves relative file paths against dir.
func (settings *Settings) resolvePaths(dir string) {
	for _, file := range settings.filePaths() {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(dir, *file)
		}
	}
}

// checkFiles checks that all files are readable and that the certificates match their private keys and the VM.
func (settings *Settings) checkFiles() spool.Faults {
	var faults spool.Faults
	for path, file := range settings.filePaths() {
		if *file == "" {
			continue
		}
		body, err := os.ReadFile(*file)
		if err != nil {
			faults.Add(path, err.Error())
		} else if len(body) == 0 {
			faults.Add(path, fmt.Sprintf("file %s is empty", *file))
		}
	}
	if len(faults) > 0 {
		return faults.Sorted()
	}
	settings.checkCertificates(&faults)
	return faults
}

func (settings *Settings) checkCertificates(faults *spool.Faults) {
	if settings.Backend.Authority != "" {
		if _, err := certs.LoadAuthority(settings.Backend.Authority); err != nil {
			faults.Add("Backend.Authority", err.Error())
		}
	}
	if settings.Caller.Certificate != "" {
		files := certs.Files{Certificate: settings.Caller.Certificate, PrivateKey: settings.Caller.PrivateKey}
		if _, err := certs.Load(files); err != nil {
			faults.Add("Caller.Certificate", err.Error())
		}
	}
	bundle, err := certs.Load(certs.Files{
		Certificate: settings.Peer.Certificate,
		PrivateKey:  settings.Peer.PrivateKey,
		Authority:   settings.Peer.Authority,
	})
	if err != nil {
		faults.Add("Peer.Certificate", err.Error())
		return
	}
	certificate, err := bundle.ServerConfig().GetCertificate(nil)
	if err != nil || certificate.Leaf == nil {
		faults.Add("Peer.Certificate", "certificate cannot be parsed")
		return
	}
	names := certificate.Leaf.DNSNames
	if len(names) == 0 || names[0] != string(settings.VM) {
		faults.Add("Peer.Certificate", fmt.Sprintf("certificate names %q first and not the VM %q", names, settings.VM))
	}
}
