package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// table prints a Markdown table.
type table struct {
	title  string
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) print(out io.Writer) {
	fmt.Fprintf(out, "\n### %s\n\n", t.title)
	fmt.Fprintf(out, "| %s |\n", strings.Join(t.header, " | "))
	fmt.Fprintf(out, "|%s\n", strings.Repeat("---|", len(t.header)))
	for _, r := range t.rows {
		fmt.Fprintf(out, "| %s |\n", strings.Join(r, " | "))
	}
}

// seconds formats d; a negative d means that the limit was reached.
func seconds(d time.Duration) string {
	if d < 0 {
		return "not reached"
	}
	return fmt.Sprintf("%.1f", d.Seconds())
}
