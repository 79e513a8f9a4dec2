package node

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a job merged from several zones that lacks the tasks and outputs of one, or counts a task twice.
func TestMergedJobJSON(t *testing.T) {
	Convey("Tasks are counted once, in the zone that has them", t, func() {
		home := jobJSON{ID: "j", Zone: "b", Count: 4, States: map[string]int{"running": 1, "done": 1}, Tasks: []taskJSON{
			{ID: "j/3", State: "running", Zone: "b"}, {ID: "j/1", State: "done", Zone: "b"},
		}}
		origin := jobJSON{ID: "j", Zone: "a", Count: 4, States: map[string]int{"moved": 3, "done": 1}, Tasks: []taskJSON{
			{ID: "j/0", State: "done", Zone: "a", Output: []byte(`1`)}, {ID: "j/1", State: "moved", Zone: "b"},
			{ID: "j/2", State: "moved", Zone: "b"}, {ID: "j/3", State: "moved", Zone: "b"},
		}}
		home.merge(origin)
		home.complete()
		So(home.States, ShouldResemble, map[string]int{"running": 1, "done": 2, "moving": 1})
		So(home.Finished, ShouldBeFalse)
		ids := make([]string, 0, len(home.Tasks))
		for _, v := range home.Tasks {
			ids = append(ids, v.ID)
		}
		So(ids, ShouldResemble, []string{"j/0", "j/1", "j/3"})
		So(string(home.Tasks[0].Output), ShouldEqual, "1")
	})
	Convey("A zone that cannot be asked leaves the job unfinished, and its tasks uncounted", t, func() {
		v := jobJSON{Count: 2, States: map[string]int{"done": 1}, Missing: []string{"a"}}
		v.complete()
		So(v.States, ShouldResemble, map[string]int{"done": 1})
		So(v.Finished, ShouldBeFalse)
	})
}

// Guards against a planned stop that ends while a request is in flight, or that lets one begin after it found none.
func TestInFlightRequests(t *testing.T) {
	Convey("A stop waits for requests in flight and lets none begin afterwards", t, func() {
		var r inFlightRequests
		So(r.begin(), ShouldBeTrue)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		So(r.closeWhenIdle(ctx), ShouldNotBeNil)
		So(r.begin(), ShouldBeTrue)
		r.end()
		r.end()
		So(r.closeWhenIdle(context.Background()), ShouldBeNil)
		So(r.begin(), ShouldBeFalse)
	})
}
