package configlog

import (
	"fmt"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Result reports what folding one record did. The fields after Reason are set
// only for records whose change could be read.
type Result struct {
	Offset uint64
	// Time is when the log service appended the record.
	Time    time.Time
	Outcome Outcome
	Reason  Reason
	// Schema, ID, Name, Op and Author are copied from the change.
	Schema int
	ID     string
	Name   policy.ServiceName
	Op     Op
	Author string
	// Base is the revision that the change was made from.
	Base uint64
	// Revision is the service's revision after folding the record.
	Revision uint64
	// First is the offset of the first record with the same change ID. Only
	// Duplicate sets it.
	First uint64
	// Faults lists what is wrong, at most maxResultFaults entries.
	Faults []kind.FieldError
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
