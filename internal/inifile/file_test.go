package inifile

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestFile(t *testing.T) {
	tests := []struct {
		name, in, want string
	}{
		{"valid", "[a]\nname = x\nn = 3\nwait = 2s\n", ""},
		{"missing key", "[a]\nn = 3\n", `f.ini: [a] name: found nothing, allowed is a name of lower-case letters, digits, '-', '_' and '.'`},
		{"out of range", "[a]\nname = x\nn = 11\n", `f.ini: [a] n: found "11", allowed is a whole number from 1 to 10`},
		{"unknown key", "[a]\nname = x\nnam = y\n", `f.ini: [a] nam: unknown key`},
		{"unknown section", "[a]\nname = x\n[b]\nk = y\n", `f.ini: [b] k: unknown key`},
		{"repeated key", "[a]\nname = x\nname = y\n", `f.ini: [a] name: found "x; y", allowed is one value, but the key occurs 2 times`},
		{"duration without unit", "[a]\nname = x\nwait = 2\n", `f.ini: [a] wait: found "2", allowed is a time from 1s to 1m0s`},
	}
	for _, tt := range tests {
		convey.Convey("A file with case: "+tt.name, t, func() {
			f, err := Parse("f.ini", []byte(tt.in))
			convey.So(err, convey.ShouldBeNil)
			f.Name("a", "name")
			f.Int("a", "n", 5, 1, 10)
			f.Duration("a", "wait", time.Second, time.Second, time.Minute)
			err = f.Done()
			if tt.want == "" {
				convey.So(err, convey.ShouldBeNil)
				return
			}
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldEqual, tt.want)
		})
	}
}

// FuzzParse guards against files that make Parse or a getter panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nname = x\n"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		file, err := Parse("f.ini", b)
		if err != nil {
			return
		}
		file.Names("a", "name")
		_ = file.Done() // must not panic
	})
}
