package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// nearWaits is a Recorder that keeps the waits for a near place.
type nearWaits struct {
	nopRecorder
	waits map[string]time.Duration
}

func (n nearWaits) RecordNearWait(place string, waited time.Duration) { n.waits[place] += waited }

// TestNearWaitIsRecorded guards against a histogram of waits for a near place that counts starts which have none.
func TestNearWaitIsRecorded(t *testing.T) {
	Convey("Only the starts that name their place are counted", t, func() {
		n := nearWaits{waits: map[string]time.Duration{}}
		(&Host{recorder: n}).recordEvents([]dispatch.Event{
			{Kind: dispatch.EventStart, Age: time.Second},
			{Kind: dispatch.EventStart, Age: 2 * time.Second, Place: dispatch.PlaceRemote},
			{Kind: dispatch.EventRemoteStart, Age: 2 * time.Second},
			{Kind: dispatch.EventStart, Place: dispatch.PlaceNear},
		})
		So(n.waits, ShouldResemble, map[string]time.Duration{"remote": 2 * time.Second, "near": 0})
	})
}
