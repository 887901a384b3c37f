package trace

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const plainLog = `{"process":"e1","name":"revision_in_force","revision":4,"time":"2026-01-02T03:04:01.000Z"}
{"process":"e1","name":"target_changed","target":"t1","state":"added","time":"2026-01-02T03:04:02.000Z"}
{"process":"e1","name":"target_changed","target":"t9","state":"added","time":"2026-01-02T03:04:02.000Z"}
{"process":"e1","name":"target_changed","target":"t1","state":"leaving","time":"2026-01-02T03:04:04.000Z"}
not a line
{"process":"e2","name":"store_unavailable","kind":"config","time":"2026-01-02T03:04:04.500Z"}
{"process":"e1","name":"attempt_sent","request":"r1","target":"t1","time":"2026-01-02T03:04:05.000Z"}
{"process":"e1","name":"attempt_sent","request":"r2","target":"t1","time":"2026-01-02T03:04:05.100Z"}
{"process":"e1","name":"target_avoided","target":"t1","time":"2026-01-02T03:04:05.200Z"}
{"process":"e1","name":"request_failed","request":"r1","status":502,"targets":["sent t1 load=1"],"time":"2026-01-02T03:04:05.300Z"}
`

func eventNames(entries []Entry) string {
	var out []string
	for _, e := range entries {
		name := e.Line.Name
		if e.InitialView {
			name = "(" + name + ")"
		}
		out = append(out, name)
	}
	return strings.Join(out, " ")
}

func TestTimeline(t *testing.T) {
	convey.Convey("Given a log", t, func() {
		var s Logs
		convey.So(s.Read(strings.NewReader(plainLog)), convey.ShouldBeNil)
		convey.Convey("the timeline of a request has the view of its process first and then the lines of the request", func() {
			convey.So(eventNames(s.Timeline("r1")), convey.ShouldEqual,
				"(revision_in_force) (target_changed) target_avoided attempt_sent request_failed")
			convey.So(s.Timeline("r1")[1].Line.stringField("state"), convey.ShouldEqual, "leaving")
			convey.So(s.Timeline("r1")[1].Age.Seconds(), convey.ShouldEqual, 1.0)
		})
		convey.Convey("the timeline of a request without a target has the states of all targets of its service", func() {
			log := `{"process":"e1","name":"target_changed","target":"t7","service":"s","state":"leaving","time":"2026-01-02T03:04:06.000Z"}` + "\n" +
				`{"process":"e1","name":"request_failed","request":"r4","service":"s","status":503,"targets":[],"time":"2026-01-02T03:04:07.000Z"}` + "\n"
			convey.So(s.Read(strings.NewReader(log)), convey.ShouldBeNil)
			convey.So(eventNames(s.Timeline("r4")), convey.ShouldEqual, "(revision_in_force) (target_changed) request_failed")
		})
		convey.Convey("a restarted process has no view from before its start", func() {
			log := `{"process":"e1","name":"started","time":"2026-01-02T03:04:06.000Z"}` + "\n" +
				`{"process":"e1","name":"attempt_sent","request":"r5","target":"t1","time":"2026-01-02T03:04:07.000Z"}` + "\n"
			convey.So(s.Read(strings.NewReader(log)), convey.ShouldBeNil)
			convey.So(eventNames(s.Timeline("r5")), convey.ShouldEqual, "(started) attempt_sent")
		})
		convey.Convey("the timeline of an unknown request is empty", func() {
			convey.So(len(s.Timeline("r3")), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("A prefix of time and name before each object is parsed", t, func() {
		var s Logs
		log := "  5.25 e1 " + `{"process":"e1","name":"attempt_sent","request":"r1","target":"t1"}` + "\n" +
			"  -1.5 e1 " + `{"process":"e1","name":"revision_in_force","revision":4}` + "\n"
		convey.So(s.Read(strings.NewReader(log)), convey.ShouldBeNil)
		got := s.Timeline("r1")
		convey.So(eventNames(got), convey.ShouldEqual, "(revision_in_force) attempt_sent")
		convey.So(got[0].Age.Seconds(), convey.ShouldEqual, 6.75)
		convey.So(got[1].Line.String(), convey.ShouldEqual, "attempt_sent target=t1")
	})
	convey.Convey("A file without log lines is an error", t, func() {
		var s Logs
		err := s.Read(strings.NewReader("hello\n"))
		convey.So(IsKind(err, NoLines), convey.ShouldBeTrue)
	})
}

// FuzzParse guards against log lines that make parse or String panic.
func FuzzParse(f *testing.F) {
	for _, l := range strings.Split(plainLog, "\n") {
		f.Add([]byte(l))
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if l, ok := parse(b); ok {
			_ = l.String()
		}
	})
}
