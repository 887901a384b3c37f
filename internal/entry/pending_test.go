package entry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/outcome"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func head(id string) peer.Head { return peer.Head{Request: id, Attempt: 1, Status: 200} }

func part(id string, seq uint64) peer.Part {
	return peer.Part{Request: id, Attempt: 1, Seq: seq, Data: []byte{byte(seq)}}
}

func end(id string, count uint64) peer.End {
	return peer.End{Request: id, Attempt: 1, Parts: count, Outcome: outcome.Answered}
}

// drainMessages returns the buffered messages of p, and whether p was lost.
func drainMessages(p *pendingAttempt) ([]peer.Message, bool) {
	var out []peer.Message
	for {
		select {
		case m, ok := <-p.messages:
			if !ok {
				return out, true
			}
			out = append(out, m)
		default:
			return out, false
		}
	}
}

func TestPendingAttempt(t *testing.T) {
	refusal := peer.Refusal{Request: "r", Attempt: 1, Reason: outcome.TargetLost}
	cases := []struct {
		name string
		in   []peer.Message
		want []peer.Message
		lost bool
	}{
		{
			"in order",
			[]peer.Message{head("r"), part("r", 0), part("r", 1), end("r", 2)},
			[]peer.Message{head("r"), part("r", 0), part("r", 1), end("r", 2)},
			false,
		},
		{
			"duplicates after a resume",
			[]peer.Message{head("r"), part("r", 0), head("r"), part("r", 0), part("r", 1), end("r", 2)},
			[]peer.Message{head("r"), part("r", 0), part("r", 1), end("r", 2)},
			false,
		},
		{
			"end with a count above the received parts",
			[]peer.Message{head("r"), part("r", 0), end("r", 2)},
			[]peer.Message{head("r"), part("r", 0)},
			true,
		},
		{
			"part out of order",
			[]peer.Message{head("r"), part("r", 1)},
			[]peer.Message{head("r")},
			false,
		},
		{"refused", []peer.Message{refusal}, []peer.Message{refusal}, false},
		{
			"refusal after the head",
			[]peer.Message{head("r"), refusal},
			[]peer.Message{head("r")},
			true,
		},
	}
	convey.Convey("An attempt delivers each message of its response once and in order", t, func() {
		for _, c := range cases {
			convey.Convey(c.name, func() {
				p := newPendingAttempt(peer.Submit{Request: "r", Attempt: 1}, testTime)
				for _, m := range c.in {
					p.deliver(m)
				}
				got, lost := drainMessages(p)
				convey.So(got, convey.ShouldResemble, c.want)
				convey.So(lost, convey.ShouldEqual, c.lost)
			})
		}
	})
	convey.Convey("An attempt is lost if the targetd exceeds the window, so that buffered messages stay bounded", t, func() {
		p := newPendingAttempt(peer.Submit{Request: "r", Attempt: 1}, testTime)
		for i := range uint64(10 * pendingBufferSize) {
			p.deliver(part("r", i))
		}
		got, lost := drainMessages(p)
		convey.So(len(got), convey.ShouldEqual, pendingBufferSize)
		convey.So(lost, convey.ShouldBeTrue)
	})
}
