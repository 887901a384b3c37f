package adapter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestParseRef(t *testing.T) {
	tests := []struct {
		in   string
		want Ref
		ok   bool
	}{
		{"a", Ref{Name: "a"}, true},
		{"renewal-notices@3", Ref{"renewal-notices", 3}, true},
		{"a.b_c-9@4294967295", Ref{"a.b_c-9", 4294967295}, true},
		{"", Ref{}, false},
		{"@1", Ref{}, false},
		{"a@", Ref{}, false},
		{"a@0", Ref{}, false},
		{"a@-1", Ref{}, false},
		{"a@4294967296", Ref{}, false},
		{"a@1@2", Ref{}, false},
		{"A", Ref{}, false},
		{"-a", Ref{}, false},
		{"a/b", Ref{}, false},
		{strings.Repeat("a", MaxNameLen+1), Ref{}, false},
	}
	convey.Convey("ParseRef accepts exactly name and name@version", t, func() {
		for _, tt := range tests {
			got, err := ParseRef(tt.in)
			convey.So(err == nil, convey.ShouldEqual, tt.ok)
			convey.So(got, convey.ShouldResemble, tt.want)
		}
	})
}

// FuzzParseRef checks that ParseRef does not panic, and that the String of an
// accepted reference parses back to the same one.
func FuzzParseRef(f *testing.F) {
	f.Add("a@1")
	f.Add("a")
	f.Add("@")
	f.Fuzz(func(t *testing.T, s string) {
		r, err := ParseRef(s)
		if err != nil {
			return
		}
		again, err := ParseRef(r.String())
		if err != nil || again != r {
			t.Fatalf("ParseRef(%q) = %v, which parses back as %v, %v", s, r, again, err)
		}
	})
}

func ExampleParseRef() {
	r, err := ParseRef("renewal-notices@3")
	fmt.Println(r.Name, r.Version, err)
	// Output: renewal-notices 3 <nil>
}
