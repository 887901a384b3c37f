package agent

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestStreamTail(t *testing.T) {
	convey.Convey("A stream is complete if its last line is the terminator", t, func() {
		for text, complete := range map[string]bool{
			"":                                      false,
			"data: [DONE]":                          true,
			"data: [DONE]\n\n":                      true,
			"data: {}\r\n\r\ndata: [DONE]\r\n\r\n":  true,
			"data: {\"text\":\"data: [DONE]\"}\n\n": false,
			"data: [DONE]\n\ndata: {}\n\n":          false,
			"xdata: [DONE]\n":                       false,
		} {
			for _, step := range []int{1, 5, 100} {
				var tail streamTail
				for i := 0; i < len(text); i += step {
					tail.write([]byte(text[i:min(i+step, len(text))]))
				}
				convey.So(tail.complete(), convey.ShouldEqual, complete)
			}
		}
		convey.So(isEventStream("text/event-stream; charset=utf-8"), convey.ShouldBeTrue)
		convey.So(isEventStream("application/json"), convey.ShouldBeFalse)
	})
}

// FuzzStreamTail guards against a terminator that is missed, or wrongly found, because
// the stream was read in several pieces.
func FuzzStreamTail(f *testing.F) {
	f.Add([]byte("data: {}\n\n"), []byte("data: [DONE]\n\n"))
	f.Add([]byte{}, []byte("\r\n"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		var split, joined streamTail
		split.write(a)
		split.write(b)
		joined.write(append(append([]byte(nil), a...), b...))
		if split.complete() != joined.complete() {
			t.Fatalf("complete differs between %q and %q written separately and in one write", a, b)
		}
	})
}
