package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// TestQuota guards against a dimension without a limit that is taken for one of which nothing may be used, and the other way
// round.
func TestQuota(t *testing.T) {
	Convey("A quota limits the dimensions that it names", t, func() {
		limit := fleet.Size{Cores: 2000, Memory: 1000}
		use := fleet.Size{Cores: 2000, Memory: 1000, Accelerators: 3}
		So(Quota{}.Admits(use), ShouldBeTrue)
		So(NewPartial(limit).Admits(use), ShouldBeTrue)
		So(New(limit).Admits(use), ShouldBeFalse)
		So(New(limit).Excess(use), ShouldEqual, 3)
		use.Memory++
		So(NewPartial(limit).Admits(use), ShouldBeFalse)
		So(NewPartial(limit).Excess(use), ShouldAlmostEqual, 0.001)
		Convey("and nothing fits while the use exceeds it", func() {
			var a Account
			a.SetQuota(NewPartial(limit))
			a.Add(use)
			So(a.Fits(fleet.Size{}), ShouldBeFalse)
			a.Remove(fleet.Size{Memory: 1})
			So(a.Fits(fleet.Size{}), ShouldBeTrue)
			So(a.Fits(fleet.Size{Cores: 1}), ShouldBeFalse)
		})
	})
}

// TestShares guards against a team whose use of one dimension is hidden by the others, and against shares without capacity.
func TestShares(t *testing.T) {
	Convey("The largest share of a dimension counts", t, func() {
		part := Part(fleet.Size{Cores: 1000, Memory: 1000, Accelerators: 3}, 0.5)
		So(fleet.Size{Cores: 100, Memory: 500, Accelerators: 1}.Fits(part), ShouldBeTrue)
		So(fleet.Size{Cores: 100, Memory: 501}.Fits(part), ShouldBeFalse)
		So(fleet.Size{Accelerators: 2}.Fits(part), ShouldBeFalse)
		So(fleet.Size{}.Fits(Part(fleet.Size{}, 0.5)), ShouldBeTrue)
		So(Part(fleet.Size{Cores: 80}, Entitlement(5, 8)).Cores, ShouldEqual, 50)
		So(Entitlement(1, 4), ShouldEqual, 0.25)
		So(Entitlement(0, 0), ShouldEqual, 1)
	})
}
