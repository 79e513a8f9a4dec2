package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a rate that counts events of more than an hour ago, or none after a pause of more than an hour.
func TestHourlyCounter(t *testing.T) {
	Convey("Only the last hour counts", t, func() {
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
