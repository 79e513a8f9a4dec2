package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

const (
	pathChanges = "/v1/changes"
	pathConfig  = "/v1/config"
)

// fieldChange is one field that differs. Old or New is empty if that side lacks the field.
type fieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// entityChange is a class or team that differs, with the fields that differ.
type entityChange struct {
	config.Change
	Fields []fieldChange `json:"fields,omitempty"`
}

// flatten returns the fields of the JSON form of v, keyed by their dotted path. A list counts as one field. It returns
// an empty map if v cannot be encoded.
func flatten(v any) map[string]string {
	out := make(map[string]string)
	data, err := json.Marshal(v)
	if err != nil {
		return out
	}
	d := json.NewDecoder(bytes.NewReader(data))
	// As float64, integers above 2^53 would lose digits.
	d.UseNumber()
	var root any
	if d.Decode(&root) != nil {
		return out
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		if m, ok := v.(map[string]any); ok {
			for k, e := range m {
				walk(strings.TrimPrefix(path+"."+k, "."), e)
			}
			return
		}
		out[path] = fmt.Sprint(v)
	}
	walk("", root)
	return out
}

// compareFields returns the fields that differ, sorted by path.
func compareFields(old, updated any) []fieldChange {
	a, b := flatten(old), flatten(updated)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []fieldChange
	for _, f := range slices.Sorted(maps.Keys(all)) {
		if a[f] != b[f] {
			out = append(out, fieldChange{Field: f, Old: a[f], New: b[f]})
		}
	}
	return out
}

// compareDocuments returns the changes that turn document a into document b.
func compareDocuments(a, b config.Document) []entityChange {
	changes := config.Diff(a, b)
	out := make([]entityChange, len(changes))
	for i, c := range changes {
		out[i] = entityChange{Change: c, Fields: compareFields(findEntity(a, c), findEntity(b, c))}
	}
	return out
}

// findEntity returns the class or team that c names, or an empty struct if the document lacks it.
func findEntity(d config.Document, c config.Change) any {
	for _, e := range d.Classes {
		if c.Entity == "class" && e.Name == c.Name {
			return e
		}
	}
	for _, e := range d.Teams {
		if c.Entity == "team" && e.Name == c.Name {
			return e
		}
	}
	return struct{}{}
}

// printFields writes one line for each field, marked as added (+), removed (-) or changed (~).
func printFields(w io.Writer, fields []fieldChange) {
	for _, f := range fields {
		switch {
		case f.Old == "":
			_, _ = fmt.Fprintf(w, "  + %s: %s\n", f.Field, f.New)
		case f.New == "":
			_, _ = fmt.Fprintf(w, "  - %s: %s\n", f.Field, f.Old)
		default:
			_, _ = fmt.Fprintf(w, "  ~ %s: %s -> %s\n", f.Field, f.Old, f.New)
		}
	}
}

// actionSigns maps the actions of config.Change to the signs in the output.
var actionSigns = map[string]string{"add": "+", "change": "~", "drop": "-"}

// printChanges writes each changed class or team with the fields that differ.
func printChanges(w io.Writer, changes []entityChange) {
	for _, c := range changes {
		_, _ = fmt.Fprintf(w, "%s %s %s\n", actionSigns[c.Action], c.Entity, c.Name)
		printFields(w, c.Fields)
	}
}

// readConfig reads the configuration from the first host that answers.
func (s *session) readConfig() (operator.ConfigView, error) {
	var v operator.ConfigView
	err := s.client.get(s.ctx, pathConfig, &v)
	return v, err
}

// changeResult is the JSON form of an accepted change.
type changeResult struct {
	operator.Reply
	Changes []entityChange `json:"changes,omitempty"`
}

// propose sends a change and prints the result. The text in newState names what was changed and its new state. If the
// host rejects the change because its base version is stale, explain prints what has changed since.
func (s *session) propose(
	p config.Proposal, newState string, changes []entityChange, explain func(current operator.ConfigView),
) error {
	r, err := s.client.post(s.ctx, pathChanges, p)
	var f *failure
	if errors.As(err, &f) && f.reply.Reason == operator.ReasonStale {
		s.explainStale(p, f, explain)
	}
	if err != nil {
		return err
	}
	if r.ChangeResult == nil {
		r.ChangeResult = &operator.ChangeResult{}
	}
	return s.print(changeResult{Reply: r, Changes: changes}, func(w *tabwriter.Writer) {
		note := ""
		if !r.Changed {
			note = ", already in force"
		}
		_, _ = fmt.Fprintf(w, "accepted: %s (version %d, document version %d%s)\n",
			newState, r.Version, r.DocumentVersion, note)
	})
}

// explainStale prints what has changed since the base version of a proposal was read, unless the output is JSON.
func (s *session) explainStale(p config.Proposal, f *failure, explain func(current operator.ConfigView)) {
	f.advice = "Nothing was changed. Check the current state and run the command again if the change is still wanted."
	if s.json {
		return
	}
	if f.reply.ChangeResult != nil {
		_, _ = fmt.Fprintf(s.errOut, "the change was based on version %d, the current version is %d\n",
			p.BaseVersion, f.reply.Version)
	}
	current, err := s.readConfig()
	if err != nil {
		_, _ = fmt.Fprintf(s.errOut, "could not read what has changed: %v\n", err)
		return
	}
	explain(current)
}

// fieldsExplainer returns an explain function for propose that compares one class, team or zone, found by find, with
// its old state.
func (s *session) fieldsExplainer(name string, old any, find func(operator.ConfigView) any) func(operator.ConfigView) {
	return func(current operator.ConfigView) {
		fields := compareFields(old, find(current))
		if len(fields) == 0 {
			_, _ = fmt.Fprintf(s.errOut, "%s has the same fields as before\n", name)
			return
		}
		_, _ = fmt.Fprintf(s.errOut, "%s has changed meanwhile:\n", name)
		printFields(s.errOut, fields)
	}
}

// printUnchanged prints that the configuration is already as asked for, so that nothing was sent. The text in state
// names the class, team, zone or file and the state that it has.
func (s *session) printUnchanged(state string, version, document uint64) error {
	r := operator.Reply{Outcome: outcomeUnchanged,
		ChangeResult: &operator.ChangeResult{Version: version, DocumentVersion: document}}
	return s.print(changeResult{Reply: r}, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "unchanged: %s already (version %d, document version %d)\n", state, version, document)
	})
}
