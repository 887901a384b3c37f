package routing

import (
	"fmt"
	"math"
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

// TestPickWithoutWeight guards against requests for a service with a weight of zero: of a
// route without any other, and by the rounding of the sum.
func TestPickWithoutWeight(t *testing.T) {
	almostOne := math.Nextafter(1, 0)
	for _, test := range []struct {
		shares []Share
		want   string
	}{
		{nil, ""},
		{[]Share{{"a", 0}, {"b", 0}}, ""},
		{[]Share{{"a", 0}, {"b", 1}, {"c", 0}}, "b"},
		{[]Share{{"a", 0.1}, {"b", 0.2}, {"c", 0}}, "b"},
		{[]Share{{"a", 2}, {"b", -1}}, "a"},
	} {
		if got := (&Route{Shares: test.shares}).Pick(almostOne); got != test.want {
			t.Errorf("%v: %q, want %q", test.shares, got, test.want)
		}
	}
}

func ExampleRoute_Pick() {
	r := Route{Shares: []Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	fmt.Println(r.Pick(0.5), r.Pick(0.95), r.Pick(0.9999999))
	// Output: old new new
}
