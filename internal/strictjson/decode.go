package strictjson

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/tailscale/hujson"
)

// maxValueBytes bounds the text of a wrong value that a fault repeats.
const maxValueBytes = 80

// Decode fills the struct that dst points to and returns all faults. What could
// be read is filled in also if there are faults, so that it can be judged. Field
// names come from json tags and must match exactly; a field without omitempty
// in its tag is required. Supported are structs, slices, pointers, strings,
// bools, ints, uint64s and floats. null is never accepted: an absent value is
// written by leaving the field out.
func (d *Document) Decode(dst any) []kind.FieldError {
	w := &walker{doc: d}
	w.value("", &d.root, reflect.ValueOf(dst).Elem())
	return w.faults
}

type walker struct {
	doc    *Document
	faults []kind.FieldError
}

func (w *walker) fault(path, value, allowed string) {
	if path == "" {
		path = "text"
	}
	if len(value) > maxValueBytes {
		value = strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
	}
	w.faults = append(w.faults, kind.FieldError{Field: path, Value: value, Allowed: allowed})
}

func (w *walker) value(path string, v *hujson.Value, dst reflect.Value) {
	if _, ok := w.doc.lines[path]; !ok {
		w.doc.lines[path] = w.doc.lineAt(v.StartOffset)
	}
	switch dst.Kind() {
	case reflect.Pointer:
		fresh := reflect.New(dst.Type().Elem())
		before := len(w.faults)
		w.value(path, v, fresh.Elem())
		_, object := v.Value.(*hujson.Object)
		if len(w.faults) == before || object && fresh.Elem().Kind() == reflect.Struct {
			dst.Set(fresh)
		}
	case reflect.Struct:
		if o, ok := v.Value.(*hujson.Object); ok {
			w.object(path, v, o, dst)
			return
		}
		w.fault(path, text(v), "an object")
	case reflect.Slice:
		a, ok := v.Value.(*hujson.Array)
		if !ok {
			w.fault(path, text(v), "a list")
			return
		}
		dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
		for i := range a.Elements {
			w.value(fmt.Sprintf("%s[%d]", path, i), &a.Elements[i], dst.Index(i))
		}
	default:
		w.literal(path, v, dst)
	}
}

func (w *walker) object(path string, v *hujson.Value, o *hujson.Object, dst reflect.Value) {
	fields := map[string]int{}
	names := []string{}
	for i := range dst.NumField() {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = i
		names = append(names, name)
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			w.doc.lines[at] = w.doc.lineAt(m.Name.StartOffset)
			w.fault(at, text(&m.Value), "no such field; known are "+strings.Join(names, ", "))
		case seen[name]:
			w.fault(at, text(&m.Value), "a single occurrence")
		default:
			w.value(at, &m.Value, dst.Field(index))
		}
		seen[name] = true
	}
	for i, name := range names {
		if !seen[name] && !strings.HasSuffix(dst.Type().Field(i).Tag.Get("json"), ",omitempty") {
			w.doc.lines[join(path, name)] = w.doc.lineAt(v.StartOffset)
			w.fault(join(path, name), "(missing)", "a value; the field is required")
		}
	}
}

func (w *walker) literal(path string, v *hujson.Value, dst reflect.Value) {
	l, _ := v.Value.(hujson.Literal)
	raw := string(l)
	first := byte(0)
	if raw != "" {
		first = raw[0]
	}
	number := first == '-' || first >= '0' && first <= '9'
	switch dst.Kind() {
	case reflect.String:
		if first == '"' {
			dst.SetString(l.String())
			return
		}
		w.fault(path, text(v), "a string")
	case reflect.Bool:
		if raw == "true" || raw == "false" {
			dst.SetBool(raw == "true")
			return
		}
		w.fault(path, text(v), "true or false")
	case reflect.Int, reflect.Int64:
		if n, err := strconv.ParseInt(raw, 10, 64); number && err == nil {
			dst.SetInt(n)
			return
		}
		w.fault(path, text(v), "an integer")
	case reflect.Uint64:
		if n, err := strconv.ParseUint(raw, 10, 64); number && err == nil {
			dst.SetUint(n)
			return
		}
		w.fault(path, text(v), "an integer of at least 0")
	case reflect.Float64:
		if n, err := strconv.ParseFloat(raw, 64); number && err == nil {
			dst.SetFloat(n)
			return
		}
		w.fault(path, text(v), "a number")
	default:
		panic("strictjson: unsupported field type " + dst.Type().String())
	}
}

// text returns the value as written, without comments and with strings
// unquoted.
func text(v *hujson.Value) string {
	if l, ok := v.Value.(hujson.Literal); ok {
		if l.Kind() == '"' {
			return l.String()
		}
		return string(l)
	}
	c := v.Clone()
	c.Minimize()
	return string(c.Pack())
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
