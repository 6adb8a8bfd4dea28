package replay

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Outcomes is the content of TRACE.outcomes.json.
type Outcomes struct {
	// Basis says in words what the trace shows and how what the slots allow is
	// worked out.
	Basis  string  `json:"basis"`
	Bounds []Bound `json:"bounds"`
}

// Bound is a stated objective: the figure is at least Min or at most Max.
type Bound struct {
	Figure string   `json:"figure"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
}

func (b *Bound) holds(v float64) bool {
	return (b.Min == nil || v >= *b.Min) && (b.Max == nil || v <= *b.Max)
}

// outcomesPath returns the path of the outcomes stated beside a trace.
func outcomesPath(trace string) string {
	return strings.TrimSuffix(trace, ".jsonl") + ".outcomes.json"
}

func loadOutcomes(trace string) (*Outcomes, error) {
	path := outcomesPath(trace)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, kind.Class.Wrap(err)
	}
	o := &Outcomes{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(o); err != nil {
		return nil, kind.Class.New("%s: %v", path, err)
	}
	if len(o.Bounds) == 0 {
		return nil, kind.Class.New("%s: no bounds are stated", path)
	}
	return o, nil
}
