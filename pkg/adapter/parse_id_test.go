package adapter

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestParseID(t *testing.T) {
	convey.Convey("ParseID is the inverse of ID.String", t, func() {
		id := ID{Team: "tessaro", Ref: Ref{Name: "renewal-notices", Version: 2}}
		got, err := ParseID(id.String())
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, id)
	})
	convey.Convey("Malformed IDs are rejected", t, func() {
		for _, s := range []string{"", "a", "a@1", "/a@1", "t/a", "t/a@0", "t/a/b@1", "T/a@1"} {
			_, err := ParseID(s)
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
}

func FuzzParseID(f *testing.F) {
	for _, s := range []string{"t/a@1", "t/a", "/", "t/a@4294967296", "t//a@1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err != nil {
			return
		}
		if again, err := ParseID(id.String()); err != nil || again != id {
			t.Fatalf("%q parses as %v, which does not round-trip", s, id)
		}
	})
}
