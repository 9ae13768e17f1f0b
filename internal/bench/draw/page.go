package draw

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width        = 18 * vg.Centimeter
	height       = 11 * vg.Centimeter
	commandsFile = "COMMANDS.txt"
)

var formats = []string{"svg", "png"}

// Page is a folder of plots, with a text file that names the command behind each.
type Page struct {
	dir   string
	lines []string
}

// NewPage returns a page in a folder, which it makes if it is not there.
func NewPage(dir string) (*Page, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "make the folder for plots")
	}
	return &Page{dir: dir}, nil
}

// Close writes the text file.
func (page *Page) Close() error {
	text := strings.Join(page.lines, "\n") + "\n"
	return eris.Wrap(os.WriteFile(filepath.Join(page.dir, commandsFile), []byte(text), 0o644), "write the commands")
}

// save writes a plot in every format; its title ends in the command that gave the figures.
func (page *Page) save(drawn *plot.Plot, name, title, command string) error {
	drawn.Title.Text = title + "\n" + command
	drawn.Title.Padding = vg.Points(8)
	drawn.Add(plotter.NewGrid())
	for _, format := range formats {
		if err := drawn.Save(width, height, filepath.Join(page.dir, name+"."+format)); err != nil {
			return eris.Wrapf(err, "draw %s", name)
		}
	}
	page.lines = append(page.lines, fmt.Sprintf("%s: %s", name, command))
	return nil
}

// lines adds one line with points for each name, in the order given as name, points, name, points.
func lines(drawn *plot.Plot, namesAndPoints ...any) error {
	return eris.Wrap(plotutil.AddLinePoints(drawn, namesAndPoints...), "add lines")
}
