package cmds

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table returns a writer that lines up columns.
func (program *Program) table() *tabwriter.Writer {
	return tabwriter.NewWriter(program.output, 0, 0, columnGap, ' ', 0)
}

// row writes the cells of one line.
func row(table *tabwriter.Writer, cells ...any) {
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
