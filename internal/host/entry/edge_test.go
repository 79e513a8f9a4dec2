package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/edge"
)

// TestEdgeLimits guards against limits of the manifest that don't hold, and against a host without limits before its first
// manifest.
func TestEdgeLimits(t *testing.T) {
	Convey("The defaults hold until a manifest sets other limits", t, func() {
		h := &Host{}
		So(h.EdgeLimits(), ShouldResemble, edge.DefaultLimits())
		h.configuration.manifest = &Manifest{}
		So(h.EdgeLimits(), ShouldResemble, edge.DefaultLimits())
		h.configuration.manifest = &Manifest{MaxBody: 1, MaxHeader: 2, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
		want := edge.DefaultLimits()
		want.MaxBodyBytes, want.MaxHeaderBytes, want.HeaderTimeout, want.IdleTimeout = 1, 2, time.Second, 2*time.Second
		So(h.EdgeLimits(), ShouldResemble, want)
	})
}
