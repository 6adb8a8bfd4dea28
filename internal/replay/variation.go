package replay

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// seedStep is the distance between the seeds of a variation. The traces of
// testdata have consecutive seeds, and no two of their runs share one.
const seedStep = 100

// variedFigures are the figures whose range a variation prints.
var variedFigures = []string{
	figureImportant, figureGoodput, figureRecovery, figureRetries, figureDuplicates, figureWrong, figureNotRun, figureInversions,
}

// Variation replays the trace at path through goldcrestsail with its own seed
// and seeds-1 others, at most parallel of them at once, and prints the value
// of each figure for each seed with the least and the greatest. The error says
// that the trace cannot be read, or that out failed.
func Variation(out io.Writer, path string, seeds, parallel int) error {
	t, err := Load(path)
	if err != nil {
		return err
	}
	runs := make([]figures, seeds)
	var group errgroup.Group
	group.SetLimit(parallel)
	for i := range runs {
		// Only the head is changed, of which each run has its own copy.
		varied := &Trace{Head: t.Head, Events: t.Events}
		varied.Head.Operations = slices.Clone(t.Head.Operations)
		varied.Head.Seed += uint64(i) * seedStep
		group.Go(func() error {
			runs[i] = replay(varied, newLayer).figures(varied)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seeds %d to %d in steps of %d\n", path, t.Head.Seed, t.Head.Seed+uint64(seeds-1)*seedStep, seedStep)
	for _, name := range variedFigures {
		values := make([]float64, 0, seeds)
		for _, f := range runs {
			if v, ok := f[name]; ok {
				values = append(values, v)
			}
		}
		if len(values) == 0 {
			continue
		}
		fmt.Fprintf(&b, "%-22s %8s to %-8s", name, number(slices.Min(values)), number(slices.Max(values)))
		for _, v := range values {
			fmt.Fprintf(&b, " %8s", number(v))
		}
		b.WriteByte('\n')
	}
	_, err = io.WriteString(out, b.String())
	return kind.Class.Wrap(err)
}
