// Package strict decodes JSON documents against a schema and reports every fault with its path.
package strict
