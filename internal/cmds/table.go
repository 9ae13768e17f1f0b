package cmds

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// newTable returns a writer that aligns columns in the output.
func (program *Program) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(program.output, 0, 0, columnGap, ' ', 0)
}

// writeRow writes the cells of one row.
func writeRow(table *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(table, strings.Join(texts, "\t"))
}

func (program *Program) flush(table *tabwriter.Writer) Code {
	if err := table.Flush(); err != nil {
		return program.fail(Failure, err)
	}
	return Success
}
