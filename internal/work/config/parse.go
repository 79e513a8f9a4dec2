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
	// maxBrackets bounds the number of opening brackets of lists and objects in a text. Each may be a level of nesting,
	// for which the parser uses about 900 bytes of stack; 1 MiB of brackets would exceed the stack limit and end the
	// process.
	maxBrackets = 20_000
	// maxSeparators bounds the number of commas and colons in a text, and so that of its values. The classes that fit into
	// 1 MiB have fewer.
	maxSeparators = 1 << 17
	// bracketMemory and separatorMemory are the memory in bytes that an opening bracket takes, with its stack, and a value
	// after a separator, with what the lists of the syntax tree leave behind as they grow.
	bracketMemory   = 1024
	separatorMemory = 512
	// maxMistakes is the largest number of mistakes that are reported.
	maxMistakes = 100
)

// LineError is a mistake in the text of a declaration or proposal, with its line.
type LineError struct {
	// Line counts from 1. For a missing field it is that of the object that lacks it.
	Line int
	// Field is empty for a syntax error.
	FieldError
}

// Proposal is one change of the configuration as operators send it. Exactly one of Class, Team, Zone and Apply is set.
type Proposal struct {
	// BaseVersion is the version that the change was compared with: that of the class, team or zone, or, for Apply, that
	// of the whole configuration.
	BaseVersion uint64    `json:"base"`
	Class       *Class    `json:"class,omitempty"`
	Team        *Team     `json:"team,omitempty"`
	Zone        *Zone     `json:"zone,omitempty"`
	Apply       *Document `json:"apply,omitempty"`
	// Drop removes the class or team.
	Drop bool `json:"drop,omitempty"`
}

// Item returns the record of the change. It returns an error if the proposal holds no change.
func (p Proposal) Item() (record.Item, error) {
	switch {
	case p.Class != nil:
		return record.EncodeItem(RecordClass, ClassUpdate{BaseVersion: p.BaseVersion, Class: *p.Class, Drop: p.Drop})
	case p.Team != nil:
		return record.EncodeItem(RecordTeam, TeamUpdate{BaseVersion: p.BaseVersion, Team: *p.Team, Drop: p.Drop})
	case p.Zone != nil:
		return record.EncodeItem(RecordZone, ZoneUpdate{
			BaseVersion: p.BaseVersion, Name: p.Zone.Name, Region: p.Zone.Region, TakenOut: p.Zone.TakenOut,
		})
	case p.Apply != nil:
		return record.EncodeItem(RecordApply, DocumentUpdate{BaseVersion: p.BaseVersion, Document: *p.Apply})
	}
	return record.Item{}, errors.New("config: proposal without a change")
}

// documentJSON is the JSON form of Document.
type documentJSON struct {
	Classes []classJSON `json:"classes"`
	Teams   []Team      `json:"teams"`
}

// proposalJSON is the JSON form of Proposal.
type proposalJSON struct {
	Base  *uint64       `json:"base"`
	Class *classJSON    `json:"class"`
	Team  *Team         `json:"team"`
	Zone  *Zone         `json:"zone"`
	Apply *documentJSON `json:"apply"`
	Drop  bool          `json:"drop"`
}

// ParseDocument reads a declaration in JSON with comments. It returns its mistakes in order of lines, at most
// maxMistakes of them.
func ParseDocument(data []byte) (Document, []LineError) {
	var j documentJSON
	p := parseInto(data, &j)
	if p.aborted {
		return Document{}, p.mistakes
	}
	doc := p.toDocument("", j)
	p.addInvalid("", doc.Validate())
	return doc, p.sortedMistakes()
}

// ParseProposal reads a proposal in the same way as ParseDocument reads a declaration.
func ParseProposal(data []byte) (Proposal, []LineError) {
	var j proposalJSON
	p := parseInto(data, &j)
	if p.aborted {
		return Proposal{}, p.mistakes
	}
	out := Proposal{Team: j.Team, Zone: j.Zone, Drop: j.Drop}
	p.require(j.Base != nil, "base", "is required")
	if j.Base != nil {
		out.BaseVersion = *j.Base
	}
	var e InvalidError
	changeCount := 0
	if j.Class != nil {
		changeCount++
		c := p.toClass("class", *j.Class)
		out.Class = &c
		// Of a class that is dropped, only the name is checked.
		if e.requireClass("class.", c); j.Drop {
			e = nil
			e.require(nameSyntax.MatchString(c.Name), "class.", "name", nameRule)
		}
	}
	if j.Team != nil {
		changeCount++
		e.requireTeam("team.", *j.Team)
	}
	if j.Zone != nil {
		changeCount++
		e.require(nameSyntax.MatchString(j.Zone.Name), "zone.", "name", nameRule)
		e.require(nameSyntax.MatchString(j.Zone.Region), "zone.", "region", nameRule)
	}
	if j.Apply != nil {
		changeCount++
		doc := p.toDocument("apply.", *j.Apply)
		out.Apply = &doc
		p.addInvalid("apply.", doc.Validate())
	}
	p.addInvalid("", e.errOrNil())
	if len(p.mistakes) == 0 {
		p.require(changeCount == 1, "", "must have exactly one of class, team, zone and apply")
		p.require(!j.Drop || j.Class != nil || j.Team != nil, "drop", "is possible for a class or team only")
	}
	return out, p.sortedMistakes()
}

// parser decodes a syntax tree into a struct. The tree keeps the offset of each field, from which the parser finds the
// lines of mistakes.
type parser struct {
	// lineBreaks holds the offset of each line break in ascending order.
	lineBreaks []int
	// fieldLines holds the line of each field by its path. The path of the whole text is empty.
	fieldLines map[string]int
	// hasMistake holds the paths of the fields that already have a mistake; their values are not checked further.
	hasMistake map[string]bool
	mistakes   []LineError
	// aborted is set after a syntax error or after maxMistakes mistakes. The rest of the text is then not checked.
	aborted bool
}

// parseInto decodes a text into the struct that v points to and returns the parser with the mistakes.
func parseInto(data []byte, v any) *parser {
	p := &parser{fieldLines: map[string]int{"": 1}, hasMistake: make(map[string]bool)}
	for i, b := range data {
		if b == '\n' {
			p.lineBreaks = append(p.lineBreaks, i)
		}
	}
	root, mistake := ParseTree(data)
	if mistake != nil {
		p.aborted = true
		p.mistakes = []LineError{*mistake}
		return p
	}
	p.decodeValue("", root, reflect.ValueOf(v).Elem())
	p.aborted = len(p.mistakes) == maxMistakes
	return p
}

// countSyntax returns the number of opening brackets of lists and objects in a text, and that of commas and colons. It counts
// those in strings and comments too.
func countSyntax(data []byte) (brackets, separators int) {
	for _, b := range data {
		switch b {
		case '[', '{':
			brackets++
		case ',', ':':
			separators++
		}
	}
	return brackets, separators
}

// ParseMemory returns the memory in bytes that parsing a text takes at most, beyond a few times its size.
func ParseMemory(data []byte) int64 {
	brackets, separators := countSyntax(data)
	return bracketMemory*int64(min(brackets, maxBrackets)) + separatorMemory*int64(min(separators, maxSeparators))
}

// ParseTree parses JSON with comments into a syntax tree and bounds its nesting and its values. It returns the mistake of a
// text that is not valid JSON, or has too many lists and objects or too many values.
func ParseTree(data []byte) (hujson.Value, *LineError) {
	switch brackets, separators := countSyntax(data); {
	case brackets > maxBrackets:
		return hujson.Value{}, &LineError{
			1, FieldError{Reason: fmt.Sprintf("must have at most %d lists and objects", maxBrackets)},
		}
	case separators > maxSeparators:
		return hujson.Value{}, &LineError{
			1, FieldError{Reason: fmt.Sprintf("must have at most %d commas and colons", maxSeparators)},
		}
	}
	// The syntax tree refers to its input, so it gets a copy.
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

// addMistake adds a mistake unless there are maxMistakes already.
func (p *parser) addMistake(field string, line int, reason string) {
	p.hasMistake[field] = true
	if len(p.mistakes) == maxMistakes {
		return
	}
	p.mistakes = append(p.mistakes, LineError{line, FieldError{Field: field, Reason: reason}})
}

// require adds a mistake unless ok. A missing field gets the line of the innermost object or list around it.
func (p *parser) require(ok bool, field, reason string) {
	if ok {
		return
	}
	path := field
	for p.fieldLines[path] == 0 {
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	p.addMistake(field, p.fieldLines[path], reason)
}

// addInvalid adds the mistakes that err lists if it is an InvalidError, except in fields that already have one.
func (p *parser) addInvalid(prefix string, err error) {
	var e InvalidError
	if !errors.As(err, &e) {
		return
	}
	for _, f := range e {
		p.require(p.hasMistake[prefix+f.Field], prefix+f.Field, f.Reason)
	}
}

// sortedMistakes returns the mistakes in order of lines.
func (p *parser) sortedMistakes() []LineError {
	slices.SortStableFunc(p.mistakes, func(a, b LineError) int { return a.Line - b.Line })
	return p.mistakes
}

// toDocument converts the JSON form of a document and adds the mistakes of malformed durations.
func (p *parser) toDocument(prefix string, j documentJSON) Document {
	d := Document{Teams: j.Teams}
	for i, c := range j.Classes {
		d.Classes = append(d.Classes, p.toClass(fmt.Sprintf("%sclasses[%d]", prefix, i), c))
	}
	return d
}

// toClass converts the JSON form of a class and adds the mistakes of malformed durations.
func (p *parser) toClass(path string, j classJSON) Class {
	c := Class{
		Name: j.Name, Kind: j.Kind, Idempotent: j.Idempotent, Service: j.Service, Size: j.Size,
		Target: Target{FinishedPerHour: j.Target.FinishedPerHour, EvictionsPerTaskDay: j.Target.EvictionsPerTaskDay},
	}
	const reason = `must be a duration such as "250ms"`
	var err error
	c.RunTime, err = parseDuration("run", j.RunTime)
	p.require(err == nil, path+".run", reason)
	c.Target.P99Latency, err = parseDuration("target.answer", j.Target.P99Latency)
	p.require(err == nil, path+".target.answer", reason)
	return c
}

// lineAt returns the line of an offset, counted from 1.
func (p *parser) lineAt(offset int) int {
	before, _ := slices.BinarySearch(p.lineBreaks, offset)
	return 1 + before
}

// decodeValue decodes a value into a variable, adds its mistakes and records its line under its path.
func (p *parser) decodeValue(path string, v hujson.Value, into reflect.Value) {
	line := p.lineAt(v.StartOffset)
	if p.fieldLines[path] == 0 {
		p.fieldLines[path] = line
	}
	// For a pointer or list, null is the same as a missing value.
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == 'n' &&
		(into.Kind() == reflect.Pointer || into.Kind() == reflect.Slice) {
		return
	}
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() != reflect.Struct {
			p.addMistake(path, line, "must be "+describeKind(into.Kind()))
			return
		}
		p.decodeObject(path, t, into)
	case *hujson.Array:
		if into.Kind() != reflect.Slice {
			p.addMistake(path, line, "must be "+describeKind(into.Kind()))
			return
		}
		for i, e := range t.Elements {
			if len(p.mistakes) == maxMistakes {
				return
			}
			into.Set(reflect.Append(into, reflect.Zero(into.Type().Elem())))
			p.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
		}
	case hujson.Literal:
		structured := into.Kind() == reflect.Struct || into.Kind() == reflect.Slice
		if structured || t.Kind() == 'n' || json.Unmarshal(t, into.Addr().Interface()) != nil {
			p.addMistake(path, line, "must be "+describeKind(into.Kind()))
		}
	}
}

// decodeObject decodes an object into a struct by the json tags of its fields. Unknown and repeated fields are
// mistakes.
func (p *parser) decodeObject(path string, o *hujson.Object, into reflect.Value) {
	fields := make(map[string]reflect.Value)
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = into.Field(i)
	}
	seen := make(map[string]bool)
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := strings.TrimPrefix(path+"."+name, ".")
		line := p.lineAt(m.Name.StartOffset)
		target, ok := fields[name]
		switch {
		case !ok:
			p.addMistake(field, line, "unknown field")
		case seen[name]:
			p.addMistake(field, line, "is given twice")
		default:
			p.fieldLines[field] = line
			p.decodeValue(field, m.Value, target)
		}
		seen[name] = true
	}
}

// describeKind returns what a value of a kind is called in mistakes.
func describeKind(k reflect.Kind) string {
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
