package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

// manifestFile is a manifest and the text that it was read from.
type manifestFile struct {
	spool.Manifest
	body []byte
}

// loadManifest reads and validates a manifest of any partner.
func loadManifest(path string) (manifestFile, spool.Faults) {
	body, err := readLimited(path, policy.MaxManifestBytes+1)
	if err != nil {
		return manifestFile{}, spool.Faults{{Reason: fmt.Sprintf("manifest cannot be read: %v", err)}}
	}
	var owner struct{ Partner spool.Partner }
	_ = json.Unmarshal(body, &owner)
	manifest, faults := policy.ParseManifest(owner.Partner, body)
	return manifestFile{Manifest: manifest, body: body}, faults
}

// readLimited reads at most limit bytes of a file.
func readLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, limit))
}
