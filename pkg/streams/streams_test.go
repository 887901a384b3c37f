package streams

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

func TestTable(t *testing.T) {
	v1, v2 := Origin{Service: "s", Version: "v1"}, Origin{Service: "s", Version: "v2"}
	convey.Convey("Given a table of two streams", t, func() {
		table := NewTable(2)
		convey.So(table.Record(epoch, 1, v1, epoch.Add(time.Second)), convey.ShouldBeTrue)
		convey.Convey("an origin is known until its stream can't go on", func() {
			o, _, ok := table.Origin(epoch.Add(time.Second-1), 1)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, v1)
			_, _, ok = table.Origin(epoch.Add(time.Second), 1)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("a further record extends that time", func() {
			table.Record(epoch, 1, v1, epoch.Add(3*time.Second))
			table.Record(epoch, 1, v1, epoch.Add(2*time.Second))
			_, _, ok := table.Origin(epoch.Add(3*time.Second-1), 1)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("a stream with contradictory records has no known origin", func() {
			table.Record(epoch, 1, v2, epoch.Add(time.Second))
			table.Record(epoch, 1, v1, epoch.Add(time.Second))
			_, _, ok := table.Origin(epoch, 1)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("an origin without a version is not known", func() {
			table.Record(epoch, 2, Origin{Service: "s"}, epoch.Add(time.Second))
			_, _, ok := table.Origin(epoch, 2)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("further streams are kept when others have expired", func() {
			convey.So(table.Record(epoch, 2, v2, epoch.Add(2*time.Second)), convey.ShouldBeTrue)
			convey.So(table.Record(epoch, 3, v2, epoch.Add(2*time.Second)), convey.ShouldBeFalse)
			now := epoch.Add(time.Second)
			table.Expire(now)
			convey.So(table.Len(), convey.ShouldEqual, 1)
			convey.So(table.Record(now, 3, v2, epoch.Add(2*time.Second)), convey.ShouldBeTrue)
		})
	})
}

// TestTableNamesOtherOrigin guards against an origin that is not that of every record of
// its stream.
func TestTableNamesOtherOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(rapid.IntRange(1, 4).Draw(t, "capacity"))
		now := epoch
		written := map[Key][]Origin{} // since the table last had no record of the key
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second)
			k := Key(rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				o := Origin{Service: "s", Version: fmt.Sprint("v", rapid.IntRange(0, 2).Draw(t, "version"))}
				if table.Record(now, k, o, now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "within"))*time.Second)) {
					written[k] = append(written[k], o)
				}
			case 1:
				table.Expire(now)
				for k := range written {
					if _, ok := table.records[k]; !ok {
						delete(written, k)
					}
				}
			}
			o, _, ok := table.Origin(now, k)
			if ok && slices.ContainsFunc(written[k], func(w Origin) bool { return w != o }) {
				t.Fatalf("stream %d began at %v according to the table, but %v was recorded", k, o, written[k])
			}
			if table.Len() > table.capacity {
				t.Fatalf("%d streams in a table of %d", table.Len(), table.capacity)
			}
		}
	})
}
