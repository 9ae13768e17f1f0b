// Package change writes objects to the platform and handles answers that are lost after a change took effect.
package change
