package policy

import (
	_ "embed"
	"fmt"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

// MaxManifestBytes is the largest size of a manifest, since the platform stores values of up to 1 MiB.
const MaxManifestBytes = 1 << 20

//go:embed manifest.schema.json
var schemaText []byte

var schema = strict.NewSchema("manifest.schema.json", schemaText)

// ParseManifest decodes and validates the manifest of a partner; the manifest is valid only if no faults are returned.
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
	validator := newValidator(partner)
	validator.checkManifest(&manifest)
	faults = strict.MergeFaults(faults, validator.faults)
	if len(faults) > 0 {
		return spool.Manifest{}, faults
	}
	return manifest, nil
}
