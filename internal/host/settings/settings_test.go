package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Guards against example files that are no longer valid.
func TestExamples(t *testing.T) {
	hosts, _ := filepath.Glob("../../../examples/*/*-[0-9].json")
	docs, _ := filepath.Glob("../../../examples/*/classes.json")
	if len(hosts) != 17 || len(docs) != 2 {
		t.Fatalf("found settings files %v and declarations files %v, want 17 and 2", hosts, docs)
	}
	for _, path := range hosts {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
	for _, path := range docs {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if data, err = hujson.Standardize(data); err != nil {
			t.Fatal(err)
		}
		var doc config.Document
		if err := json.Unmarshal(data, &doc); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		if err := doc.Validate(); err != nil || len(doc.Classes) == 0 {
			t.Errorf("%s: found %d classes, want at least 1; validation error: %v", path, len(doc.Classes), err)
		}
	}
}

// invalidSettings has one error on most lines.
const invalidSettings = `{
	// A comment.
	"host": "Upper",
	"zone": 7,
	"region": "r",
	"colour": "blue",
	"callers": {"listen": ":1"},
	"operators": {"listen": "nowhere"},
	"peers": {"listen": ":3", "seeds": ["a:1", "b"]},
	"platform": {
		"log": "ftp://x",
	},
	"drain": 3,
	"lease": {
		"ttl": "4s",
		"renew": "2s"
	},
	"limits": {"queue": 1.5, "queue": 2},
	"zones": [{"name": "z"}],
}`

// Guards against a report that stops at the first error, or names the wrong line or field.
func TestEveryErrorIsReported(t *testing.T) {
	_, err := Parse("f.json", []byte(invalidSettings))
	var got FieldErrors
	if !errors.As(err, &got) {
		t.Fatal(err)
	}
	type location struct {
		line  int
		field string
	}
	want := []location{
		{3, "host"}, {4, "zone"}, {6, "colour"}, {8, "operators.listen"}, {9, "peers.seeds[1]"}, {11, "platform.log"},
		{10, "platform.hosts"}, {13, "drain"}, {16, "lease.renew"}, {18, "limits.queue"}, {18, "limits.queue"},
		{19, "zones[0].region"},
	}
	for _, fieldErr := range got {
		i := slices.Index(want, location{fieldErr.Line, fieldErr.Field})
		if i < 0 {
			t.Errorf("error that was not expected: %v", fieldErr)
			continue
		}
		want = slices.Delete(want, i, i+1)
	}
	if len(want) > 0 {
		t.Errorf("errors that were not reported, by line and field: %v", want)
	}
}

// Guards against durations so long that the sums and products of them with which limits are checked overflow.
func TestHugeDurations(t *testing.T) {
	const huge = "2562047h"
	_, err := Parse("f.json", []byte(`{
		"host": "h", "zone": "z", "region": "r", "callers": {"listen": ":1"}, "operators": {"listen": ":2"},
		"peers": {"listen": ":3"}, "platform": {"log": "http://x", "hosts": "http://x"},
		"lease": {"ttl": "`+huge+`", "renew": "`+huge+`", "tasks": "30s"}, "drain": "`+huge+`"
	}`))
	var got FieldErrors
	if !errors.As(err, &got) {
		t.Fatalf("got error %v, want FieldErrors", err)
	}
	fields := make([]string, 0, len(got))
	for _, fieldErr := range got {
		fields = append(fields, fieldErr.Field)
	}
	if want := []string{"lease.ttl", "lease.renew", "drain"}; !slices.Equal(fields, want) {
		t.Errorf("got errors %v, want one for each of %v", got, want)
	}
}

// Guards against a syntax error that is reported without its line.
func TestSyntaxError(t *testing.T) {
	_, err := Parse("f.json", []byte("{\n\"host\" 1}"))
	var got FieldErrors
	if !errors.As(err, &got) || len(got) != 1 || got[0].Line != 2 || got[0].File != "f.json" {
		t.Errorf("got error %v, want one for line 2 of f.json", err)
	}
}

// Guards against deep nesting, which overflows the stack of the JSON library and ends the process.
func TestNesting(t *testing.T) {
	_, err := Parse("f.json", []byte(strings.Repeat("[", 4<<20)))
	var got FieldErrors
	if !errors.As(err, &got) || len(got) != 1 || !strings.Contains(got[0].Reason, "lists and objects") {
		t.Errorf("got error %.200v, want one about the number of lists and objects", err)
	}
}

// FuzzParse guards against input that makes the decoder panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(invalidSettings))
	f.Add([]byte(`[null]`))
	f.Add([]byte(`{"zones": null, "peers": 1, "drain": {}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f", data)
	})
}
