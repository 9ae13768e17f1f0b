// Package strict decodes JSON documents, validates them against a JSON schema and reports all faults with their paths.
package strict
