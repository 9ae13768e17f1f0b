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

// PlotDir is a directory of plots with a text file that lists the command that produced each of them.
type PlotDir struct {
	dir      string
	commands []string
}

// NewPlotDir returns a PlotDir at the given path and creates the directory if it does not exist.
func NewPlotDir(dir string) (*PlotDir, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "create the plot directory")
	}
	return &PlotDir{dir: dir}, nil
}

// Close writes the text file with the commands.
func (plotDir *PlotDir) Close() error {
	text := strings.Join(plotDir.commands, "\n") + "\n"
	return eris.Wrap(os.WriteFile(filepath.Join(plotDir.dir, commandsFile), []byte(text), 0o644), "write the commands file")
}

// save writes a plot in every format, with the command that produced its data in the title.
func (plotDir *PlotDir) save(figure *plot.Plot, name, title, command string) error {
	figure.Title.Text = title + "\n" + command
	figure.Title.Padding = vg.Points(8)
	figure.Add(plotter.NewGrid())
	for _, format := range formats {
		if err := figure.Save(width, height, filepath.Join(plotDir.dir, name+"."+format)); err != nil {
			return eris.Wrapf(err, "save plot %s", name)
		}
	}
	plotDir.commands = append(plotDir.commands, fmt.Sprintf("%s: %s", name, command))
	return nil
}

// addLines adds a line with markers for each series; the arguments alternate between names and points.
func addLines(figure *plot.Plot, namesAndPoints ...any) error {
	return eris.Wrap(plotutil.AddLinePoints(figure, namesAndPoints...), "add lines to the plot")
}
