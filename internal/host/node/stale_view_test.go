package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
)

// logWithoutConfig is a log whose stream of the configuration cannot be read.
type logWithoutConfig struct{ feed.Log }

func (l logWithoutConfig) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (logservice.Page, error) {
	if stream == streamConfig {
		return logservice.Page{}, errors.New("the configuration cannot be read")
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// TestNoRenewalsWithoutConfiguration guards against a host that has restarted in a lost zone and renews task leases
// without knowing that the zone was taken out, so that hosts of other zones start the tasks while they run.
func TestNoRenewalsWithoutConfiguration(t *testing.T) {
	Convey("A host that holds a worker and has never read the configuration renews no task leases", t, func() {
		p := newTestPlatform(t, 1, 1)
		n := p.start("a-1", "a", func(_ *settings.Settings, clients *Platform) {
			clients.Log = logWithoutConfig{clients.Log}
		})
		p.eventually(5*time.Second, "the worker is held and the zone's stream is read", func() bool {
			return len(n.heldWorkers()) == 1 && !n.zone.feed.FreshAsOf().IsZero()
		})
		So(within(2*time.Second, func() bool { return n.renewsTaskLeases("a-w0") }), ShouldBeFalse)
	})
}
