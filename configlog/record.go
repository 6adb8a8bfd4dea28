package configlog

import (
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Schemas of change records that are honoured.
const (
	Schema1 = 1
	Schema2 = 2
)

// Record is one change to the policy of one service.
type Record struct {
	// Schema is Schema1 or Schema2.
	Schema int
	// ID is the change ID, a UUID in canonical lower-case form.
	ID string
	// Name is the service that the change concerns.
	Name policy.ServiceName
	// Base is the revision that the change was made from, 0 for a new service.
	Base uint64
	Op   Op
	// Author names the operator, at most MaxAuthorBytes.
	Author string
	// Policy is set for Put and nil for Delete.
	Policy *PolicyBody
}

// Encode returns the record's canonical JSON, the form that is appended to
// the log.
func (r *Record) Encode() []byte { panic("not implemented") }

// Check returns all faults that can be found without the current state, each
// with its field: fields of the record and the rules of package policy. A
// schema 1 policy is checked as if its service were new. Fold may still reject
// a record without faults, for its base or for schema 2 fields that it keeps.
func (r *Record) Check() []kind.FieldError { panic("not implemented") }

// DecodeRecord reads the JSON of one change. The faults list every unknown,
// missing, repeated or mistyped field; the record is nil if there are any.
// DecodeRecord does not check values; Check does.
func DecodeRecord(data []byte) (*Record, []kind.FieldError) { panic("not implemented") }
