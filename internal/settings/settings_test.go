package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// readEntryText writes text to a file and reads it with ReadEntry.
func readEntryText(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entryd.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadEntry(path)
	return err
}

func TestExamples(t *testing.T) {
	convey.Convey("The commented examples are valid settings", t, func() {
		entryd, err := ReadEntry("../../examples/settings/entryd.ini")
		convey.So(err, convey.ShouldBeNil)
		convey.So(entryd.Zone, convey.ShouldEqual, "milano-a")
		targetd, err := ReadTarget("../../examples/settings/targetd.ini")
		convey.So(err, convey.ShouldBeNil)
		convey.So(targetd.Slots, convey.ShouldEqual, 8)
	})
}

func TestInvalidSettings(t *testing.T) {
	example, err := os.ReadFile("../../examples/settings/entryd.ini")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ from, to, want string }{
		{"region = lombardy", "", "[process] region: found nothing"},
		{"stop_within = 30s", "stop_within = 0s", `[process] stop_within: found "0s", allowed is a time from 1s to 1h0m0s`},
		{"level = info", "level = loud", `[log] level: found "loud", allowed is one of info, debug, warn, error`},
		{"in_progress = 2000", "in_progress = many", `[limits] in_progress: found "many"`},
		{"[log]", "[logs]", "[logs] level: unknown key"},
	}
	convey.Convey("The error of an invalid setting names its section and key", t, func() {
		for _, tt := range tests {
			err := readEntryText(t, strings.Replace(string(example), tt.from, tt.to, 1))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, tt.want)
		}
	})
	convey.Convey("The error of an invalid peer key does not contain the key", t, func() {
		err := readEntryText(t, strings.Replace(string(example), "change-this-peer-key", "short-secret", 1))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "[peers] key")
		convey.So(err.Error(), convey.ShouldNotContainSubstring, "short-secret")
	})
}

func TestPosition(t *testing.T) {
	example, err := os.ReadFile("../../examples/settings/targetd.ini")
	if err != nil {
		t.Fatal(err)
	}
	withoutLoads, _, _ := strings.Cut(string(example), "[loads]")
	convey.Convey("A target's position must be less than the number of targets", t, func() {
		path := filepath.Join(t.TempDir(), "targetd.ini")
		for _, test := range []struct{ loads, want string }{
			{"rate = 3\ntargets = 12\nposition = 11\n", ""},
			{"rate = 3\ntargets = 12\n", ""},
			{"rate = 3\ntargets = 12\nposition = 12\n", "[loads] position: found \"12\""},
		} {
			convey.So(os.WriteFile(path, []byte(withoutLoads+"[loads]\n"+test.loads), 0o600), convey.ShouldBeNil)
			_, err := ReadTarget(path)
			if test.want == "" {
				convey.So(err, convey.ShouldBeNil)
				continue
			}
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, test.want)
		}
	})
}
