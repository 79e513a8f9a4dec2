package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"sassafraswind.example/sassafraswind/internal/work/config"
)

// decoder fills Settings from a syntax tree, which has the offset of each field, and collects errors with their lines.
type decoder struct {
	file string
	data []byte
	// lines maps the path of each value in the file, such as lease.ttl, to its line. The path of the whole file is empty.
	lines map[string]int
	// invalidFields holds the paths of fields with an error; they are not validated further.
	invalidFields map[string]bool
	errs          FieldErrors
	// syntaxError is true if the file could not be parsed.
	syntaxError bool
}

// decode parses data and fills s. It returns the decoder with the errors so far.
func decode(file string, data []byte, s *Settings) *decoder {
	d := &decoder{file: file, data: data, lines: map[string]int{"": 1}, invalidFields: make(map[string]bool)}
	root, lineErr := config.ParseTree(data)
	if lineErr != nil {
		d.syntaxError = true
		d.errs = FieldErrors{{File: file, Line: lineErr.Line, Reason: lineErr.Reason}}
		return d
	}
	d.decodeValue("", root, reflect.ValueOf(s).Elem())
	return d
}

// addError adds an error at a line and marks the field as invalid.
func (d *decoder) addError(field string, line int, reason string) {
	d.invalidFields[field] = true
	d.errs = append(d.errs, FieldError{File: d.file, Line: line, Field: field, Reason: reason})
}

// require adds an error for the field unless ok is true or the field has an error already. The error has the line of
// the field or, if the field is missing, of the innermost object that encloses it.
func (d *decoder) require(ok bool, field, reason string) {
	if ok || d.invalidFields[field] {
		return
	}
	path := field
	for d.lines[path] == 0 {
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	d.addError(field, d.lines[path], reason)
}

// decodeValue decodes the value at a path of the file into the field, list element or struct that into is.
func (d *decoder) decodeValue(path string, v hujson.Value, into reflect.Value) {
	line := 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
	d.lines[path] = line
	switch t := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() != reflect.Struct {
			d.addError(path, line, "must not be an object")
			return
		}
		d.decodeObject(path, t, into)
	case *hujson.Array:
		if into.Kind() != reflect.Slice {
			d.addError(path, line, "must not be a list")
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(t.Elements), len(t.Elements)))
		for i, e := range t.Elements {
			d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
		}
	case hujson.Literal:
		d.decodeLiteral(path, line, t, into)
	}
}

// decodeObject decodes an object into a struct. Unknown and repeated fields are errors.
func (d *decoder) decodeObject(path string, o *hujson.Object, into reflect.Value) {
	fields := make(map[string]reflect.Value)
	collectFields(into, fields)
	seen := make(map[string]bool)
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := strings.TrimPrefix(path+"."+name, ".")
		line := 1 + bytes.Count(d.data[:m.Name.StartOffset], []byte("\n"))
		target, ok := fields[name]
		switch {
		case !ok:
			d.addError(field, line, "unknown field")
		case seen[name]:
			d.addError(field, line, "is given twice")
		default:
			d.decodeValue(field, m.Value, target)
		}
		seen[name] = true
	}
}

// collectFields adds the fields of the struct v to fields by their names in the file, with those of embedded structs.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.Anonymous {
			collectFields(v.Field(i), fields)
		} else {
			fields[f.Tag.Get("json")] = v.Field(i)
		}
	}
}

// maxDuration is the longest duration in a settings file. Sums and small multiples of it fit a time.Duration.
const maxDuration = 366 * 24 * time.Hour

// decodeLiteral decodes a duration, string or whole number into a field of that type.
func (d *decoder) decodeLiteral(path string, line int, l hujson.Literal, into reflect.Value) {
	switch into.Interface().(type) {
	case time.Duration:
		v, err := time.ParseDuration(l.String())
		if l.Kind() != '"' || err != nil {
			d.addError(path, line, `must be a duration such as "2s"`)
			return
		}
		if v > maxDuration {
			d.addError(path, line, "must be at most "+maxDuration.String())
			return
		}
		into.SetInt(int64(v))
		return
	case string:
		if l.Kind() != '"' {
			d.addError(path, line, "must be a string")
			return
		}
	case int, int64:
		if l.Kind() != '0' {
			d.addError(path, line, "must be a whole number")
			return
		}
	default:
		d.addError(path, line, "must be an object or a list")
		return
	}
	if err := json.Unmarshal(l, into.Addr().Interface()); err != nil {
		d.addError(path, line, "must be a whole number in range")
	}
}
