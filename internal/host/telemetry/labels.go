package telemetry

import (
	"strings"
	"sync"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

const (
	// maxNamedLabels is the largest number of classes and of teams that are named.
	maxNamedLabels = dispatch.MaxNamedGroups
	// maxReasonLabels is the largest number of reasons that are named.
	maxReasonLabels = 32
	// maxLabelBytes is the size to which the value of a label is cut.
	maxLabelBytes = 120
)

// labelSet bounds the values of a label: the first ones keep their names, all others become dispatch.OtherGroup. It is safe for
// concurrent use.
type labelSet struct {
	limit int

	mu sync.Mutex
	// values holds limit values at most.
	values map[string]struct{}
}

// newLabelSet returns an empty set for the number of values.
func newLabelSet(limit int) *labelSet { return &labelSet{limit: limit, values: map[string]struct{}{}} }

// value returns the value of the label for the text.
func (l *labelSet) value(text string) string {
	text = labelText(text)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.values[text]; ok {
		return text
	}
	if len(l.values) >= l.limit {
		return dispatch.OtherGroup
	}
	l.values[text] = struct{}{}
	return text
}

// labelText returns the text as a valid value of a label, which is UTF-8.
func labelText(text string) string {
	if len(text) > maxLabelBytes {
		text = text[:maxLabelBytes]
	}
	return strings.ToValidUTF8(text, "?")
}
