package workflow

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// TestValidate guards against an invalid specification that is accepted, or refused with the error of another mistake.
func TestValidate(t *testing.T) {
	Convey("A specification", t, func() {
		s := Spec{Steps: []Step{{Tasks: 1}, {Tasks: 2, DependsOn: []int{0}}}}
		Convey("without mistakes is valid", func() {
			So(s.Validate(), ShouldBeNil)
		})
		mistakes := map[string]func(){
			"no steps":                func() { s.Steps = nil },
			"257 steps":               func() { s.Steps = make([]Step, MaxSteps+1) },
			"0 tasks":                 func() { s.Steps[1].Tasks = 0 },
			"negative size":           func() { s.Steps[0].Size = fleet.Size{Memory: -1} },
			"negative time":           func() { s.Steps[0].Estimate = -1 },
			"negative limit":          func() { s.Steps[0].MaxPerWorker = -1 },
			"gang can't last":         func() { s.Steps[0].Gang, s.Steps[0].LongRunning = true, true },
			"depends on step":         func() { s.Steps[1].DependsOn = []int{1} },
			"without an interval":     func() { s.OccurrenceCount = 2 },
			"-1 occurrences, at most": func() { s.OccurrenceCount = -1 },
			"text of 65537 bytes":     func() { s.Payload = string(make([]byte, MaxPayloadBytes+1)) },
		}
		for text, introduce := range mistakes {
			Convey("is refused for: "+text, func() {
				introduce()
				err := s.Validate()
				So(errors.Is(err, ErrInvalid), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, text)
			})
		}
	})
}

// TestRemainingPaths guards against a remaining path that is shorter than the step and the path of a step that depends
// on it, or longer than the critical path.
func TestRemainingPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Spec
		for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
			st := Step{Tasks: 1, Estimate: time.Duration(rapid.IntRange(0, 1000).Draw(t, "estimate")) * time.Millisecond}
			for dependency := range i {
				if rapid.Bool().Draw(t, "depends") {
					st.DependsOn = append(st.DependsOn, dependency)
				}
			}
			s.Steps = append(s.Steps, st)
		}
		paths := s.RemainingPaths()
		for i, st := range s.Steps {
			if paths[i] < st.Estimate || paths[i] > s.CriticalPath() {
				t.Fatalf("step %d has a remaining path of %v, want one from its estimate %v to the critical path %v",
					i, paths[i], st.Estimate, s.CriticalPath())
			}
			for _, dependency := range st.DependsOn {
				if paths[dependency] < s.Steps[dependency].Estimate+paths[i] {
					t.Fatalf("step %d has a remaining path of %v, too short for its dependent step with one of %v",
						dependency, paths[dependency], paths[i])
				}
			}
		}
	})
}
