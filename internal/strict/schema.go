package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"corianderspool.example/spool/pkg/spool"
)

// maxFaults limits the faults that are reported for one document.
const maxFaults = 100

// Schema is a JSON schema that is compiled on first use, so that commands that do not need it start faster.
type Schema struct {
	compiled func() *jsonschema.Schema
}

// NewSchema returns the schema in text; its first use panics if it is invalid.
func NewSchema(name string, text []byte) *Schema {
	return &Schema{compiled: sync.OnceValue(func() *jsonschema.Schema { return mustCompile(name, text) })}
}

func mustCompile(name string, text []byte) *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema %s is not JSON: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	compiler.DefaultDraft(jsonschema.Draft2020)
	if err := compiler.AddResource(name, document); err != nil {
		panic(fmt.Sprintf("schema %s cannot be added: %v", name, err))
	}
	return compiler.MustCompile(name)
}

// Decode decodes body into target, a pointer to a struct, and returns all syntax and schema faults.
//
// If decoded is true, target is filled even if there are faults, so that the caller can check further rules.
func (schema *Schema) Decode(body []byte, target any) (faults spool.Faults, decoded bool) {
	document, faults, parsed := parseDocument(body)
	if !parsed {
		return faults, false
	}
	faults = append(faults, schema.validate(document)...)
	if err := json.Unmarshal(body, target); err != nil {
		if len(faults) == 0 {
			faults.Add("", err.Error())
		}
		return faults, false
	}
	return faults, true
}

// MergeFaults returns the schema faults, followed by the semantic faults at other paths, limited to maxFaults.
func MergeFaults(schemaFaults, semanticFaults spool.Faults) spool.Faults {
	seen := map[string]bool{}
	for _, fault := range schemaFaults {
		seen[fault.Path] = true
	}
	merged := slices.Clone(schemaFaults)
	for _, fault := range semanticFaults {
		if !seen[fault.Path] {
			merged = append(merged, fault)
		}
	}
	return limitFaults(merged)
}

func (schema *Schema) validate(document any) spool.Faults {
	err := schema.compiled().Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	printer := message.NewPrinter(language.English)
	var faults spool.Faults
	collectFaults(invalid, document, printer, &faults)
	return faults.Sorted()
}

// collectFaults converts the leaves of a validation error to faults.
func collectFaults(invalid *jsonschema.ValidationError, document any, printer *message.Printer, faults *spool.Faults) {
	for _, cause := range invalid.Causes {
		collectFaults(cause, document, printer, faults)
	}
	if len(invalid.Causes) > 0 {
		return
	}
	path := instancePath(document, invalid.InstanceLocation)
	switch reason := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range reason.Properties {
			faults.Add(joinPath(path, name), "unknown field")
		}
	case *kind.Required:
		for _, name := range reason.Missing {
			faults.Add(joinPath(path, name), "field is missing")
		}
	default:
		faults.Add(path, reason.LocalizedString(printer))
	}
}

// instancePath formats a location in the document, for example as Teams[2].RatePerSecond.
func instancePath(document any, steps []string) string {
	path := ""
	for _, step := range steps {
		switch value := document.(type) {
		case []any:
			index, _ := strconv.Atoi(step)
			path = IndexPath(path, index)
			document = value[index]
		case map[string]any:
			path = joinPath(path, step)
			document = value[step]
		}
	}
	return path
}

func limitFaults(faults spool.Faults) spool.Faults {
	if len(faults) <= maxFaults {
		return faults
	}
	rest := len(faults) - maxFaults
	faults = faults[:maxFaults:maxFaults]
	faults.Add("", fmt.Sprintf("%d more faults", rest))
	return faults
}
