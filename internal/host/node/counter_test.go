package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a rate that includes events older than an hour, or that misses events after a pause longer than that.
func TestHourlyCounter(t *testing.T) {
	Convey("Only events of the last hour are counted", t, func() {
		var c hourlyCounter
		now := time.Unix(1_000_000, 0)
		for range 30 {
			c.add(now)
			now = now.Add(time.Minute)
		}
		So(c.perHour(now), ShouldEqual, 60)
		events, _ := c.total(now.Add(40 * time.Minute))
		So(events, ShouldEqual, 19)
		events, _ = c.total(now.Add(3 * time.Hour))
		So(events, ShouldEqual, 0)
		c.add(now.Add(3 * time.Hour))
		events, observed := c.total(now.Add(3 * time.Hour))
		So(events, ShouldEqual, 1)
		So(observed, ShouldEqual, time.Hour)
	})
}
