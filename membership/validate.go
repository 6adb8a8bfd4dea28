package membership

import (
	"strconv"
	"unicode/utf8"
)

// minDatagramBytes is the lower bound of Config.MaxDatagramBytes. A header and a
// broadcast of the maximum size fit into it.
const minDatagramBytes = 1000

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func validName(s string) bool { return len(s) <= MaxNameBytes && utf8.ValidString(s) }

func validMeta(m Meta) bool {
	return validName(m.Customer) && validName(m.Service) && validName(m.FailureDomain) &&
		validName(m.Region) && m.TargetState <= Down && m.Slots <= MaxSlots
}

func validBroadcast(b Broadcast) bool {
	return b.Kind != 0 && b.ID != "" && len(b.ID) <= MaxBroadcastIDBytes && utf8.ValidString(b.ID) &&
		len(b.Payload) <= MaxBroadcastPayloadBytes
}
