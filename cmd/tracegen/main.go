// Command tracegen writes the traces of testdata and the outcomes stated beside
// them. The traces follow from the workloads in docs/design.md and fixed seeds.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goldcrestsail/goldcrestsail/internal/replay"
)

func main() {
	dir := "testdata"
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	for _, d := range []deployment{qureshi(), takstolshuset()} {
		for _, s := range d.scenarios() {
			if err := write(dir, d, s); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		}
	}
}

// write stores one trace and its outcomes.
func write(dir string, d deployment, s scenario) error {
	head := d.head
	head.Seed, head.DurationMS, head.TriggerMS = s.seed, s.durationMS, s.triggerMS
	if s.change != nil {
		head.Operations = append([]replay.Operation(nil), head.Operations...)
		s.change(&head)
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for _, e := range s.events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	path := filepath.Join(dir, head.Deployment+"-"+s.name)
	if err := os.WriteFile(path+".jsonl", b.Bytes(), 0o644); err != nil {
		return err
	}
	b.Reset()
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.outcomes()); err != nil {
		return err
	}
	return os.WriteFile(path+".outcomes.json", b.Bytes(), 0o644)
}
