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

// maxFaults bounds the faults that one document reports.
const maxFaults = 100

// Schema is a JSON schema that is compiled when it is first used, so that commands that use none start sooner.
type Schema struct {
	compiled func() *jsonschema.Schema
}

// NewSchema returns an embedded schema, whose first use panics if it is invalid.
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

// Decode reads body into target, a pointer to a struct, and returns every fault of its form.
//
// With decoded true target holds the document even if it has faults, so that the caller can look for more.
func (schema *Schema) Decode(body []byte, target any) (faults spool.Faults, decoded bool) {
	document, faults, parsed := parse(body)
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

// MergeFaults joins the faults of form and meaning: one for each path, those of form first.
func MergeFaults(form, meaning spool.Faults) spool.Faults {
	seen := map[string]bool{}
	for _, fault := range form {
		seen[fault.Path] = true
	}
	merged := slices.Clone(form)
	for _, fault := range meaning {
		if !seen[fault.Path] {
			merged = append(merged, fault)
		}
	}
	return limit(merged)
}

func (schema *Schema) validate(document any) spool.Faults {
	err := schema.compiled().Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	printer := message.NewPrinter(language.English)
	var faults spool.Faults
	collect(invalid, document, printer, &faults)
	return faults.Sorted()
}

// collect turns the leaves of a validation error into faults.
func collect(invalid *jsonschema.ValidationError, document any, printer *message.Printer, faults *spool.Faults) {
	for _, cause := range invalid.Causes {
		collect(cause, document, printer, faults)
	}
	if len(invalid.Causes) > 0 {
		return
	}
	path := pathOf(document, invalid.InstanceLocation)
	switch reason := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range reason.Properties {
			faults.Add(join(path, name), "unknown field")
		}
	case *kind.Required:
		for _, name := range reason.Missing {
			faults.Add(join(path, name), "field is missing")
		}
	default:
		faults.Add(path, reason.LocalizedString(printer))
	}
}

// pathOf writes the steps from the document's root as Teams[2].RatePerSecond.
func pathOf(document any, steps []string) string {
	path := ""
	for _, step := range steps {
		switch value := document.(type) {
		case []any:
			index, _ := strconv.Atoi(step)
			path = IndexPath(path, index)
			document = value[index]
		case map[string]any:
			path = join(path, step)
			document = value[step]
		}
	}
	return path
}

func limit(faults spool.Faults) spool.Faults {
	if len(faults) <= maxFaults {
		return faults
	}
	rest := len(faults) - maxFaults
	faults = faults[:maxFaults:maxFaults]
	faults.Add("", fmt.Sprintf("%d more faults", rest))
	return faults
}
