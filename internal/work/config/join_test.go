package config_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// TestJoinFromSnapshotAfterChange guards against a host that joins without a configuration, and refuses the changes after
// it, because the last record of the only snapshot changed something.
func TestJoinFromSnapshotAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a log whose changes have expired except for a snapshot taken right after the last of them", t, func() {
			log := logservice.New()
			state := config.NewState()
			writer, stop := feed.NewFeed(log, "config", "a", state, feed.WithSnapshots(3))
			Reset(stop)
			zone := func(i int) record.Item {
				item, err := record.EncodeItem(config.RecordZone, config.ZoneUpdate{Name: "z" + strconv.Itoa(i), Region: "r"})
				So(err, ShouldBeNil)
				return item
			}
			for i := range 3 {
				_, err := writer.Write(t.Context(), zone(i))
				So(err, ShouldBeNil)
			}
			time.Sleep(20 * time.Second)
			So(writer.Counts().Snapshots, ShouldEqual, 1)
			log.SetFaults(logservice.Faults{MaxRecords: 1})
			Convey("A host that joins has the configuration", func() {
				joined := config.NewState()
				reader, stop := feed.NewFeed(log, "config", "b", joined)
				Reset(stop)
				<-reader.Ready()
				So(reader.Counts().Restores, ShouldEqual, 1)
				So(reader.Counts().Gaps, ShouldEqual, 0)
				So(joined.Version(), ShouldEqual, state.Version())
				So(joined.Zones(), ShouldResemble, state.Zones())
			})
		})
	})
}
