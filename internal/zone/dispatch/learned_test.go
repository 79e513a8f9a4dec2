package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLearnedInterferenceIsRestored guards against a new leader that knows nothing of the interference learned before.
func TestLearnedInterferenceIsRestored(t *testing.T) {
	Convey("A leader that has learned what disturbs a long-running image", t, func() {
		now := simEpoch
		s := New(testLimits(), 1, 1)
		s.interference.headroom("serve", 20)
		for range 200 {
			s.interference.observe("serve", 0.09, map[string]float64{"loud": 0.1})
			s.interference.observe("serve", 0, map[string]float64{"quiet": 0.1})
		}
		s.Decide(now.Add(time.Minute), now.Add(time.Minute))
		b, ok := s.TakeBatch()
		So(ok, ShouldBeTrue)
		next := New(testLimits(), 2, 2)
		Convey("passes it on to the next leader", func() {
			So(next.Restore(now, now, b.Records, now), ShouldBeEmpty)
			So(next.interference.coefficient("serve", "loud"), ShouldAlmostEqual, 0.9, 0.1)
			So(next.interference.coefficient("serve", "quiet"), ShouldAlmostEqual, 0, 0.1)
			So(next.interference.neededHeadroom("serve", 40, 1), ShouldAlmostEqual, 0.5)
			So(next.interference.coefficient("serve", "other"), ShouldEqual, priorCoefficient)
			Convey("which goes on learning", func() {
				for range 200 {
					next.interference.observe("serve", 0.02, map[string]float64{"loud": 0.1})
				}
				So(next.interference.coefficient("serve", "loud"), ShouldAlmostEqual, 0.2, 0.1)
			})
		})
		Convey("writes nothing as long as nothing changes", func() {
			s.MarkCommitted(b)
			s.Decide(now.Add(2*time.Minute), now.Add(2*time.Minute))
			_, ok := s.TakeBatch()
			So(ok, ShouldBeFalse)
		})
		Convey("and a malformed record is left out", func() {
			bad := encode(&learnedRecord{Images: []string{"a"}, Coefficients: nil})
			errs := next.Restore(now, now, []Record{
				{Key: prefixLearned + "serve", Value: bad}, {Key: prefixLearned + "x", Value: []byte{1}},
			}, now)
			So(errs, ShouldHaveLength, 2)
			So(next.interference.coefficient("serve", "loud"), ShouldEqual, priorCoefficient)
		})
	})
}
