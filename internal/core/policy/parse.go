package policy

import (
	_ "embed"
	"fmt"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

// MaxManifestBytes bounds the body of a manifest; the platform holds values of up to one megabyte.
const MaxManifestBytes = 1 << 20

//go:embed manifest.schema.json
var schemaText []byte

var schema = strict.NewSchema("manifest.schema.json", schemaText)

// ParseManifest reads the manifest of a partner and returns every fault; the manifest counts only without faults.
func ParseManifest(partner spool.Partner, body []byte) (spool.Manifest, spool.Faults) {
	if len(body) > MaxManifestBytes {
		reason := fmt.Sprintf("manifest has %d bytes, more than %d", len(body), MaxManifestBytes)
		return spool.Manifest{}, spool.Faults{{Reason: reason}}
	}
	var manifest spool.Manifest
	faults, decoded := schema.Decode(body, &manifest)
	if !decoded {
		return spool.Manifest{}, strict.MergeFaults(faults, nil)
	}
	check := newCheck(partner)
	check.manifest(&manifest)
	faults = strict.MergeFaults(faults, check.faults)
	if len(faults) > 0 {
		return spool.Manifest{}, faults
	}
	return manifest, nil
}
