package event

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCatalogueMatchesCode checks that docs/EVENTS.md lists exactly the kinds of events, with their levels and texts.
func TestCatalogueMatchesCode(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	var documented []string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(line, "|\n"), "|")
		number, err := strconv.Atoi(strings.TrimSpace(cells[0]))
		if err != nil {
			continue
		}
		c.Assert(cells, qt.HasLen, 4, qt.Commentf("%s", line))
		c.Assert(strings.TrimSpace(cells[3]), qt.Not(qt.Equals), "", qt.Commentf("%s", line))
		documented = append(documented, fmt.Sprint(number, cells[1], cells[2]))
	}
	var coded []string
	for number, kind := range kinds {
		coded = append(coded, fmt.Sprintf("%d %s  %s ", number, kind.Level, kind.Text))
	}
	c.Assert(documented, qt.ContentEquals, coded)
}
