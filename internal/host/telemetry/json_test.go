package telemetry

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// TestJSONFormatterMatchesLogrus checks that a line holds the same as that of logrus's own formatter.
func TestJSONFormatterMatchesLogrus(t *testing.T) {
	value := rapid.OneOf(
		rapid.String().AsAny(), rapid.Int().AsAny(), rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Bool().AsAny(),
		rapid.Float64Range(-1e6, 1e6).AsAny(), rapid.SliceOf(rapid.String()).AsAny(),
		rapid.MapOf(rapid.String(), rapid.Bool()).AsAny(),
		rapid.Map(rapid.String(), errors.New).AsAny(),
	)
	rapid.Check(t, func(t *rapid.T) {
		e := logrus.NewEntry(logrus.New()).WithFields(rapid.MapOf(rapid.String(), value).Draw(t, "fields"))
		e = e.WithField(componentField, "leader")
		e.Message, e.Level, e.Time = rapid.String().Draw(t, "message"), logrus.WarnLevel, time.Unix(1, 0).UTC()
		got, err := jsonFormatter{}.Format(e)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Count(got, []byte{'\n'}) != 1 || got[len(got)-1] != '\n' {
			t.Fatalf("%q is not one line", got)
		}
		want, err := prefixFormatter{&logrus.JSONFormatter{}}.Format(e)
		if err != nil {
			t.Fatal(err)
		}
		var gotFields, wantFields map[string]any
		if err := json.Unmarshal(got, &gotFields); err != nil {
			t.Fatalf("%q: %v", got, err)
		}
		if err := json.Unmarshal(want, &wantFields); err != nil {
			t.Fatal(err)
		}
		gotText, _ := json.Marshal(gotFields)
		wantText, _ := json.Marshal(wantFields)
		if !bytes.Equal(gotText, wantText) {
			t.Fatalf("got %s, want %s", gotText, wantText)
		}
	})
}

// TestJSONFormatterReportsBadValues checks that a value without a JSON form is an error and not a broken line.
func TestJSONFormatterReportsBadValues(t *testing.T) {
	e := logrus.NewEntry(logrus.New()).WithField("x", make(chan int))
	if _, err := (jsonFormatter{}).Format(e); err == nil {
		t.Error("a channel was formatted, want an error")
	}
}

// BenchmarkDecisionLine measures the processor time of the log line of one decision.
func BenchmarkDecisionLine(b *testing.B) {
	log, err := NewLogger(&bytes.Buffer{}, "info", "json")
	if err != nil {
		b.Fatal(err)
	}
	out := &bytes.Buffer{}
	log.SetOutput(out)
	leader := ComponentLogger(log, "leader").WithField("token", 7)
	for b.Loop() {
		out.Reset()
		leader.WithFields(logrus.Fields{
			"event": "start", "job": "a85c1e6ccc9ee09b", "task": "a85c1e6ccc9ee09b.0.0.15", "run": 65,
			"worker": "i-6cab406f9b", "age_ms": int64(12),
		}).Info("Decision")
	}
}
