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

// decoder fills Settings from a syntax tree, which keeps the offset of each field for errors.
type decoder struct {
	file string
	data []byte
	// lines holds the line of each field and object by path. The whole file has the empty path.
	lines map[string]int
	// invalidFields holds the fields that could not be decoded; they are not checked further.
	invalidFields map[string]bool
	errs          FieldErrors
	// syntaxError is set after a syntax error.
	syntaxError bool
}

func decode(file string, data []byte, s *Settings) *decoder {
	d := &decoder{file: file, data: data, lines: map[string]int{"": 1}, invalidFields: make(map[string]bool)}
	root, mistake := config.ParseTree(data)
	if mistake != nil {
		d.syntaxError = true
		d.errs = FieldErrors{{File: file, Line: mistake.Line, Reason: mistake.Reason}}
		return d
	}
	d.decodeValue("", root, reflect.ValueOf(s).Elem())
	return d
}

func (d *decoder) addError(field string, line int, reason string) {
	d.invalidFields[field] = true
	d.errs = append(d.errs, FieldError{File: d.file, Line: line, Field: field, Reason: reason})
}

// require notes a mistake unless ok. Only the first mistake of a field is noted.
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

// collectFields adds the fields of a struct by their names in the file, those of embedded structs included.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.Anonymous {
			collectFields(v.Field(i), fields)
		} else {
			fields[f.Tag.Get("json")] = v.Field(i)
		}
	}
}

func (d *decoder) decodeLiteral(path string, line int, l hujson.Literal, into reflect.Value) {
	switch into.Interface().(type) {
	case time.Duration:
		v, err := time.ParseDuration(l.String())
		if l.Kind() != '"' || err != nil {
			d.addError(path, line, `must be a duration such as "2s"`)
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
