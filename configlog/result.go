package configlog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Limits on the faults and texts in a result. Results are part of the state, so
// the limits and the texts of the faults must be the same on all nodes. The
// operator commands report all faults before publishing.
const (
	maxResultFaults    = 8
	maxStoredTextBytes = 120
)

// Result reports what folding one record did. The fields after Reason are set
// only for records whose change could be read.
type Result struct {
	Offset uint64 `json:"offset"`
	// Time is when the log service appended the record, in UTC with
	// millisecond precision.
	Time    time.Time `json:"time"`
	Outcome Outcome   `json:"outcome"`
	Reason  Reason    `json:"reason,omitempty"`
	// Schema, ID, Name, Op and Author are copied from the change.
	Schema int                `json:"schema,omitempty"`
	ID     string             `json:"id,omitempty"`
	Name   policy.ServiceName `json:"name"`
	Op     Op                 `json:"op,omitempty"`
	Author string             `json:"author,omitempty"`
	// Base is the revision that the change was made from.
	Base uint64 `json:"base,omitempty"`
	// Revision is the service's revision after folding the record.
	Revision uint64 `json:"revision,omitempty"`
	// First is the offset of the first record with the same change ID. Only
	// Duplicate sets it.
	First uint64 `json:"first,omitempty"`
	// Faults lists what is wrong, at most maxResultFaults entries.
	Faults []kind.FieldError `json:"faults,omitempty"`
}

// Err returns nil unless the record was rejected. The error has kind
// config-rejected.
func (r *Result) Err() error {
	if r.Outcome != Rejected {
		return nil
	}
	e := kind.Newf(kind.ConfigRejected, "%s at offset %d", r.Reason, r.Offset)
	if r.Reason == StaleBase {
		e.Detail += fmt.Sprintf(", base is revision %d, current is revision %d", r.Base, r.Revision)
	}
	e.Fields = r.Faults
	return e
}

func (r *Result) reject(reason Reason, faults []kind.FieldError) {
	r.Outcome, r.Reason = Rejected, reason
	r.Faults = slices.Clone(faults[:min(len(faults), maxResultFaults)])
	for i := range r.Faults {
		f := &r.Faults[i]
		f.Field, f.Value, f.Allowed = truncate(f.Field), truncate(f.Value), truncate(f.Allowed)
	}
}

// truncate limits a text to maxStoredTextBytes and makes it valid UTF-8.
func truncate(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxStoredTextBytes)], "")
}
