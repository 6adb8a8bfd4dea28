package configlog

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/goldcrestsail/goldcrestsail/internal/strictjson"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/google/uuid"
)

// Supported schemas of change records.
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

// recordWire is the JSON form of a Record.
type recordWire struct {
	Schema   int         `json:"schema"`
	ID       string      `json:"id,omitempty"`
	Customer string      `json:"customer"`
	Service  string      `json:"service"`
	Base     uint64      `json:"base"`
	Op       string      `json:"op"`
	Author   string      `json:"author,omitempty"`
	Policy   *PolicyBody `json:"policy,omitempty"`
}

// Encode returns the record's canonical JSON, the form that is appended to
// the log.
func (r *Record) Encode() []byte {
	return mustMarshal(recordWire{Schema: r.Schema, ID: r.ID, Customer: r.Name.Customer, Service: r.Name.Service,
		Base: r.Base, Op: string(r.Op), Author: r.Author, Policy: r.Policy})
}

// mustMarshal encodes v as JSON and panics if v cannot be encoded. It does not
// escape HTML, which would make a snapshot up to six times as large as the
// changes it covers.
func mustMarshal(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic(err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// DecodeRecord decodes the JSON of one change. The faults list every unknown,
// missing, repeated or mistyped field; the record is nil if there are any.
// DecodeRecord does not check values; Check does.
func DecodeRecord(data []byte) (*Record, []kind.FieldError) {
	if len(data) > MaxChangeBytes {
		return nil, []kind.FieldError{{Field: "text", Value: strconv.Itoa(len(data)) + " bytes", Allowed: "at most " + strconv.Itoa(MaxChangeBytes) + " bytes"}}
	}
	if !json.Valid(data) {
		return nil, []kind.FieldError{{Field: "text", Value: truncate(string(data)), Allowed: "JSON without comments"}}
	}
	doc, err := strictjson.Parse(data)
	if err != nil {
		return nil, []kind.FieldError{{Field: "text", Value: truncate(err.Error()), Allowed: "JSON"}}
	}
	var w recordWire
	if faults := doc.Decode(&w); len(faults) > 0 {
		return nil, faults
	}
	return w.record(), nil
}

func (w *recordWire) record() *Record {
	return &Record{Schema: w.Schema, ID: w.ID, Name: policy.ServiceName{Customer: w.Customer, Service: w.Service},
		Base: w.Base, Op: Op(w.Op), Author: w.Author, Policy: w.Policy}
}

// CheckDocument decodes one change from a parsed document, such as a file with
// comments, and returns the faults of DecodeRecord and of Check together. The
// record is nil if there are any. The change ID may be missing.
func CheckDocument(doc *strictjson.Document) (*Record, []kind.FieldError) {
	var w recordWire
	faults := doc.Decode(&w)
	undecoded := map[string]bool{"id": w.ID == ""}
	for _, f := range faults {
		undecoded[f.Field] = true
	}
	r := w.record()
	faults = append(faults, slices.DeleteFunc(r.checkHeader(), func(f kind.FieldError) bool { return undecoded[f.Field] })...)
	// Rules that compare with another field cannot be checked if that field is
	// missing or could not be decoded.
	for field := range undecoded {
		undecoded["policy.min_limit"] = undecoded["policy.min_limit"] || field == "policy.slots"
		undecoded["policy.default_class"] = undecoded["policy.default_class"] || strings.HasPrefix(field, "policy.classes")
	}
	faults = append(faults, slices.DeleteFunc(r.checkValues(), func(f kind.FieldError) bool { return undecoded[f.Field] })...)
	if len(faults) > 0 {
		return nil, faults
	}
	return r, nil
}

// Check returns all faults that can be found without the current state, each
// with its field: fields of the record and the rules of package policy. A
// schema 1 policy is checked as if its service were new. Fold may still reject
// a record without faults, because of its base or because of schema 2 fields
// that it keeps from the policy in force.
func (r *Record) Check() []kind.FieldError {
	return append(r.checkHeader(), r.checkValues()...)
}

// checkValues returns the faults in the values of the policy, if there is one.
func (r *Record) checkValues() []kind.FieldError {
	if r.Policy == nil {
		return nil
	}
	return checkPolicy(r.Policy.apply(r.Schema, r.Name, nil))
}

// checkHeader returns the faults outside the values of the policy.
func (r *Record) checkHeader() []kind.FieldError {
	var faults []kind.FieldError
	check := func(field, value string, ok bool, allowed string) {
		if !ok {
			faults = append(faults, kind.FieldError{Field: field, Value: truncate(value), Allowed: allowed})
		}
	}
	check("schema", strconv.Itoa(r.Schema), r.Schema == Schema1 || r.Schema == Schema2, "1 or 2")
	_, ok := parseID(r.ID)
	check("id", r.ID, ok, "a UUID in lower case with hyphens")
	check("customer", r.Name.Customer, policy.ValidName(r.Name.Customer), "a DNS label in lower case")
	check("service", r.Name.Service, policy.ValidName(r.Name.Service), "a DNS label in lower case")
	check("op", string(r.Op), r.Op == Put || r.Op == Delete, "put or delete")
	check("author", r.Author, len(r.Author) <= MaxAuthorBytes && isPrintable(r.Author), "at most "+strconv.Itoa(MaxAuthorBytes)+" bytes without control characters")
	check("policy", "(missing)", r.Op != Put || r.Policy != nil, "a policy; put needs one")
	check("policy", "(present)", r.Op != Delete || r.Policy == nil, "no policy for a delete")
	if r.Schema == Schema1 && r.Policy != nil {
		for _, field := range r.Policy.presentSchema2Fields() {
			check("policy."+field, "(present)", false, "no such field in schema 1; use schema 2")
		}
	}
	return faults
}

// checkPolicy returns the faults of a policy with the field names of a record.
func checkPolicy(p *policy.Policy) []kind.FieldError {
	var faults []kind.FieldError
	for _, f := range p.Validate() {
		// checkHeader reports these two.
		if f.Field != "customer" && f.Field != "service" {
			f.Field, f.Value = "policy."+f.Field, truncate(f.Value)
			faults = append(faults, f)
		}
	}
	return faults
}

// parseID accepts only the canonical form, so that equal IDs have equal texts.
func parseID(id string) (uuid.UUID, bool) {
	u, err := uuid.Parse(id)
	return u, err == nil && u.String() == id
}

func isPrintable(s string) bool {
	for _, c := range s {
		if unicode.IsControl(c) || c == unicode.ReplacementChar {
			return false
		}
	}
	return true
}
