package edge

import (
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDescriptors guards against a host that counts on descriptors which its process may not open.
func TestDescriptors(t *testing.T) {
	Convey("The lower one of the settings and the limit of the process holds", t, func() {
		var before syscall.Rlimit
		So(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before), ShouldBeNil)
		lower := before
		lower.Cur = min(before.Cur, 500)
		So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lower), ShouldBeNil)
		Reset(func() { So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before), ShouldBeNil) })
		So(Descriptors(4100), ShouldEqual, lower.Cur)
		So(Descriptors(300), ShouldEqual, 300)
	})
}
