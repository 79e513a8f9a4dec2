// Package telemetry sets up the logs and metrics of an entry host.
package telemetry

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// componentField is the log field that holds the name of the component.
const componentField = "part"

// prefixFormatter prefixes each message with the name of its component and removes componentField.
type prefixFormatter struct {
	logrus.Formatter
}

// Format implements logrus.Formatter.
func (f prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	component, ok := e.Data[componentField].(string)
	if !ok {
		return f.Formatter.Format(e)
	}
	c := *e
	c.Message = component + ": " + e.Message
	c.Data = make(logrus.Fields, len(e.Data))
	for k, v := range e.Data {
		if k != componentField {
			c.Data[k] = v
		}
	}
	return f.Formatter.Format(&c)
}

// NewLogger returns a logger that writes to w from the given level on. The format is "text" or "json". It returns an
// error if the level or the format is unknown.
func NewLogger(w io.Writer, level, format string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "telemetry: log level %q", level)
	}
	l.SetLevel(lv)
	switch format {
	case "json":
		l.SetFormatter(jsonFormatter{})
	case "text":
		l.SetFormatter(prefixFormatter{&logrus.TextFormatter{FullTimestamp: true, DisableColors: true}})
	default:
		return nil, errors.Newf("telemetry: log format %q is neither text nor json", format)
	}
	return l, nil
}

// ComponentLogger returns a log entry whose messages start with the name of the component.
func ComponentLogger(l logrus.FieldLogger, component string) *logrus.Entry {
	return l.WithField(componentField, component)
}
