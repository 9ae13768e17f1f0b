// Package change writes objects to the platform although answers may be lost after a change took effect.
package change
