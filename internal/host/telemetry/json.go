package telemetry

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// jsonFormatter formats entries as JSON objects on one line each, with their fields in order. The message is prefixed
// with the name of the entry's component. It writes the common types itself, since a leader logs thousands of decisions
// a second.
type jsonFormatter struct{}

// Names of the fields that each line has. A field of the entry with such a name gets clashPrefix.
const (
	levelField   = "level"
	messageField = "msg"
	timeField    = "time"
	clashPrefix  = "fields."
)

// Format implements logrus.Formatter.
func (jsonFormatter) Format(e *logrus.Entry) ([]byte, error) {
	buf := e.Buffer
	if buf == nil {
		buf = &bytes.Buffer{}
	}
	out := append(buf.AvailableBuffer(), '{')
	var keyArray [16]string
	keys := keyArray[:0]
	for k := range e.Data {
		if k != componentField {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var err error
	for _, k := range keys {
		name := k
		if k == levelField || k == messageField || k == timeField {
			name = clashPrefix + k
		}
		out = append(appendString(out, name), ':')
		if out, err = appendValue(out, e.Data[k]); err != nil {
			return nil, errors.Wrapf(err, "telemetry: format log field %s", k)
		}
		out = append(out, ',')
	}
	message := e.Message
	if component, ok := e.Data[componentField].(string); ok {
		message = component + ": " + message
	}
	out = append(out, `"level":"`...)
	out = append(out, e.Level.String()...)
	out = appendString(append(out, `","msg":`...), message)
	out = append(out, `,"time":"`...)
	out = e.Time.AppendFormat(out, time.RFC3339)
	out = append(out, "\"}\n"...)
	buf.Write(out)
	return buf.Bytes(), nil
}

// appendValue appends the JSON form of a field's value.
func appendValue(out []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		return appendString(out, v), nil
	case error:
		return appendString(out, v.Error()), nil
	case int:
		return strconv.AppendInt(out, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(out, v, 10), nil
	case uint64:
		return strconv.AppendUint(out, v, 10), nil
	case bool:
		return strconv.AppendBool(out, v), nil
	}
	data, err := json.Marshal(value)
	return append(out, data...), err
}

// appendString appends a JSON string.
func appendString(out []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			// A string can always be encoded; invalid bytes are replaced.
			data, _ := json.Marshal(s)
			return append(out, data...)
		}
	}
	out = append(out, '"')
	out = append(out, s...)
	return append(out, '"')
}
