package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

const (
	// maxBrackets bounds the lists and objects of a text. Each may be a level of nesting, for which the parser uses
	// about 900 bytes of stack; 1 MiB of brackets would exceed the stack limit and end the process.
	maxBrackets = 20_000
	// maxMistakes bounds the mistakes that are noted.
	maxMistakes = 100
)

// LineError is a mistake in the text of a declaration or proposal.
type LineError struct {
	// Line counts from 1. For a missing field it is that of the object that lacks it.
	Line int
	// Field is empty for a syntax error.
	FieldError
}

// Proposal is one change of the configuration as operators send it. Exactly one of Class, Team, Zone and Apply is
// set.
type Proposal struct {
	// Base is the version that the change was compared with: of the class, team or zone, or of the document.
	Base  uint64    `json:"base"`
	Class *Class    `json:"class,omitempty"`
	Team  *Team     `json:"team,omitempty"`
	Zone  *Zone     `json:"zone,omitempty"`
	Apply *Document `json:"apply,omitempty"`
	// Drop removes the class or team.
	Drop bool `json:"drop,omitempty"`
}

// Item returns the record of the change.
func (p Proposal) Item() (record.Item, error) {
	switch {
	case p.Class != nil:
		return record.EncodeItem(RecordClass, ClassMsg{Base: p.Base, Class: *p.Class, Drop: p.Drop})
	case p.Team != nil:
		return record.EncodeItem(RecordTeam, TeamMsg{Base: p.Base, Team: *p.Team, Drop: p.Drop})
	case p.Zone != nil:
		return record.EncodeItem(RecordZone, ZoneMsg{Base: p.Base, Name: p.Zone.Name, Region: p.Zone.Region, Out: p.Zone.Out})
	case p.Apply != nil:
		return record.EncodeItem(RecordApply, ApplyMsg{Base: p.Base, Doc: *p.Apply})
	}
	return record.Item{}, errors.New("config: proposal without a change")
}

// documentJSON is the file form of Document.
type documentJSON struct {
	Classes []classJSON `json:"classes"`
	Teams   []Team      `json:"teams"`
}

// proposalJSON is the text form of Proposal.
type proposalJSON struct {
	Base  *uint64       `json:"base"`
	Class *classJSON    `json:"class"`
	Team  *Team         `json:"team"`
	Zone  *Zone         `json:"zone"`
	Apply *documentJSON `json:"apply"`
	Drop  bool          `json:"drop"`
}

// ParseDocument reads a declaration, JSON with comments, and returns every mistake in it.
func ParseDocument(data []byte) (Document, []LineError) {
	var j documentJSON
	p := parse(data, &j)
	if p.broken {
		return Document{}, p.mistakes
	}
	doc := p.document("", j)
	p.invalid("", doc.Validate())
	return doc, p.sorted()
}

// ParseProposal reads a proposal as ParseDocument does a declaration.
func ParseProposal(data []byte) (Proposal, []LineError) {
	var j proposalJSON
	p := parse(data, &j)
	if p.broken {
		return Proposal{}, p.mistakes
	}
	out := Proposal{Team: j.Team, Zone: j.Zone, Drop: j.Drop}
	p.require(j.Base != nil, "base", "is required")
	if j.Base != nil {
		out.Base = *j.Base
	}
	var e InvalidError
	set := 0
	if j.Class != nil {
		set++
		c := p.class("class", *j.Class)
		out.Class = &c
		if e.class("class.", c); j.Drop {
			e = nil
			e.check(nameSyntax.MatchString(c.Name), "class.", "name", nameRule)
		}
	}
	if j.Team != nil {
		set++
		e.team("team.", *j.Team)
	}
	if j.Zone != nil {
		set++
		e.check(nameSyntax.MatchString(j.Zone.Name), "zone.", "name", nameRule)
		e.check(nameSyntax.MatchString(j.Zone.Region), "zone.", "region", nameRule)
	}
	if j.Apply != nil {
		set++
		doc := p.document("apply.", *j.Apply)
		out.Apply = &doc
		p.invalid("apply.", doc.Validate())
	}
	p.invalid("", e.err())
	if len(p.mistakes) == 0 {
		p.require(set == 1, "", "must have exactly one of class, team, zone and apply")
		p.require(!j.Drop || j.Class != nil || j.Team != nil, "drop", "is possible for a class or team only")
	}
	return out, p.sorted()
}

// parser fills a text form from a syntax tree, which keeps the offset of each field for errors.
type parser struct {
	// breaks holds the offset of each line break.
	breaks []int
	// lines holds the line of each field by path. The whole text has the empty path.
	lines map[string]int
	// bad holds the fields that could not be decoded; they are not checked further.
	bad      map[string]bool
	mistakes []LineError
	// broken is set after a syntax error or maxMistakes. The rest is not checked then.
	broken bool
}

func parse(data []byte, v any) *parser {
	p := &parser{lines: map[string]int{"": 1}, bad: make(map[string]bool)}
	for i, b := range data {
		if b == '\n' {
			p.breaks = append(p.breaks, i)
		}
	}
	root, mistake := ParseTree(data)
	if mistake != nil {
		p.broken = true
		p.mistakes = []LineError{*mistake}
		return p
	}
	p.value("", root, reflect.ValueOf(v).Elem())
	p.broken = len(p.mistakes) == maxMistakes
	return p
}

// ParseTree parses JSON with comments and bounds its nesting. It returns the mistake of a text that is no JSON.
func ParseTree(data []byte) (hujson.Value, *LineError) {
	if bytes.Count(data, []byte("["))+bytes.Count(data, []byte("{")) > maxBrackets {
		return hujson.Value{}, &LineError{1, FieldError{Reason: fmt.Sprintf("must have at most %d lists and objects", maxBrackets)}}
	}
	// The syntax tree keeps parts of its input.
	root, err := hujson.Parse(bytes.Clone(data))
	if err == nil {
		return root, nil
	}
	line := 1
	// The message begins with "hujson: line N, column M: ".
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		line = 1
	}
	return hujson.Value{}, &LineError{line, FieldError{Reason: err.Error()}}
}

func (p *parser) fail(field string, line int, reason string) {
	p.bad[field] = true
	if len(p.mistakes) == maxMistakes {
		return
	}
	p.mistakes = append(p.mistakes, LineError{line, FieldError{Field: field, Reason: reason}})
}

// require notes a mistake unless ok, at the nearest part of the field that is there.
func (p *parser) require(ok bool, field, reason string) {
	if ok {
		return
	}
	path := field
	for p.lines[path] == 0 {
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	p.fail(field, p.lines[path], reason)
}

// invalid notes the mistakes of an InvalidError in fields that could be decoded.
func (p *parser) invalid(prefix string, err error) {
	var e InvalidError
	if !errors.As(err, &e) {
		return
	}
	for _, f := range e {
		p.require(p.bad[prefix+f.Field], prefix+f.Field, f.Reason)
	}
}

func (p *parser) sorted() []LineError {
	slices.SortStableFunc(p.mistakes, func(a, b LineError) int { return a.Line - b.Line })
	return p.mistakes
}

func (p *parser) document(prefix string, j documentJSON) Document {
	d := Document{Teams: j.Teams}
	for i, c := range j.Classes {
		d.Classes = append(d.Classes, p.class(fmt.Sprintf("%sclasses[%d]", prefix, i), c))
	}
	return d
}

func (p *parser) class(path string, j classJSON) Class {
	c := Class{
		Name: j.Name, Kind: j.Kind, Idempotent: j.Idempotent, Service: j.Service, Size: j.Size,
		Target: Target{Finished: j.Target.Finished, Disruption: j.Target.Disruption},
	}
	const reason = `must be a duration such as "250ms"`
	var err error
	c.Run, err = duration("run", j.Run)
	p.require(err == nil, path+".run", reason)
	c.Target.Answer, err = duration("target.answer", j.Target.Answer)
	p.require(err == nil, path+".target.answer", reason)
	return c
}

func (p *parser) line(offset int) int {
	before, _ := slices.BinarySearch(p.breaks, offset)
	return 1 + before
}

func (p *parser) value(path string, v hujson.Value, into reflect.Value) {
	line := p.line(v.StartOffset)
	if p.lines[path] == 0 {
		p.lines[path] = line
	}
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == 'n' && (into.Kind() == reflect.Pointer || into.Kind() == reflect.Slice) {
		return
	}
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() != reflect.Struct {
			p.fail(path, line, "must be "+kindName(into.Kind()))
			return
		}
		p.object(path, t, into)
	case *hujson.Array:
		if into.Kind() != reflect.Slice {
			p.fail(path, line, "must be "+kindName(into.Kind()))
			return
		}
		for i, e := range t.Elements {
			if len(p.mistakes) == maxMistakes {
				return
			}
			into.Set(reflect.Append(into, reflect.Zero(into.Type().Elem())))
			p.value(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
		}
	case hujson.Literal:
		structured := into.Kind() == reflect.Struct || into.Kind() == reflect.Slice
		if structured || t.Kind() == 'n' || json.Unmarshal(t, into.Addr().Interface()) != nil {
			p.fail(path, line, "must be "+kindName(into.Kind()))
		}
	}
}

func (p *parser) object(path string, o *hujson.Object, into reflect.Value) {
	fields := make(map[string]reflect.Value)
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = into.Field(i)
	}
	seen := make(map[string]bool)
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := strings.TrimPrefix(path+"."+name, ".")
		line := p.line(m.Name.StartOffset)
		target, ok := fields[name]
		switch {
		case !ok:
			p.fail(field, line, "unknown field")
		case seen[name]:
			p.fail(field, line, "is given twice")
		default:
			p.lines[field] = line
			p.value(field, m.Value, target)
		}
		seen[name] = true
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}
