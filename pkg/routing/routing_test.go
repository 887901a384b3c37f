package routing

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	cfg := New(1, []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "o.example", Prefix: "/a/"},
	}, nil, Limits{})
	tests := []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/x", "long"},
		{"h.example", "/a/b", "short"},
		{"H.Example:8080", "/a/b/", "long"},
		{"o.example", "/a/b/x", "other"},
		{"h.example", "/A/x", ""},
		{"h.example", "/a", ""},
		{"x.example", "/a/x", ""},
		{"", "/a/x", ""},
		{"[::1]", "/a/", ""},
	}
	convey.Convey("Match returns the route of the host with the longest prefix", t, func() {
		for _, test := range tests {
			r, ok := cfg.Match(test.host, test.path)
			convey.So(ok, convey.ShouldEqual, test.want != "")
			if ok {
				convey.So(r.Name, convey.ShouldEqual, test.want)
			}
		}
	})
}

func TestIdempotent(t *testing.T) {
	convey.Convey("Safe requests and resumable streams are idempotent", t, func() {
		convey.So((&Route{Kind: Safe}).Idempotent(), convey.ShouldBeTrue)
		convey.So((&Route{Kind: Unsafe, Resumable: true}).Idempotent(), convey.ShouldBeFalse)
		convey.So((&Route{Kind: Stream}).Idempotent(), convey.ShouldBeFalse)
		convey.So((&Route{Kind: Stream, Resumable: true}).Idempotent(), convey.ShouldBeTrue)
	})
}

func ExampleRoute_Pick() {
	r := Route{Shares: []Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	fmt.Println(r.Pick(0.5), r.Pick(0.95), r.Pick(0.9999999))
	// Output: old new new
}
