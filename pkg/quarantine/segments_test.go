package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func testSegment(name string) Fingerprint { return SegmentFingerprint("s", name) }

// exposure returns a segment in flight at a crash whose request was sent at start+sent.
func exposure(name string, sent time.Duration) Exposure {
	return Exposure{Segment: testSegment(name), SentAt: start.Add(sent)}
}

// segmentCrash returns a crash at start+at, up to which the service answered other
// requests.
func segmentCrash(name string, at time.Duration, exposed ...Exposure) SegmentCrash {
	return SegmentCrash{Name: name, Service: "s", At: start.Add(at), ServedAt: start.Add(at - 1), Exposed: exposed}
}

func TestClassifySegment(t *testing.T) {
	three := func(second SegmentCrash) []SegmentCrash {
		return []SegmentCrash{segmentCrash("1", 0, exposure("x", -10)), second, segmentCrash("3", 200, exposure("x", 150))}
	}
	unserved := func(crashes []SegmentCrash) []SegmentCrash {
		for i := range crashes {
			crashes[i].ServedAt = start.Add(-5)
		}
		return crashes
	}
	answer := func(at time.Duration) func(*SegmentList) {
		return func(l *SegmentList) { l.Answer(start.Add(at), testSegment("x")) }
	}
	tests := []struct {
		about   string
		crashes []SegmentCrash
		then    func(*SegmentList)
		after   time.Duration
		want    Verdict // on "x"
	}{
		{about: "no crash"},
		{about: "one crash", crashes: three(SegmentCrash{})[:1], want: Suspect},
		{about: "one crash long ago", crashes: three(SegmentCrash{})[:1], after: SuspectFor},
		{about: "two crashes", crashes: three(segmentCrash("2", 100, exposure("x", 50)))[:2], want: Suspect},
		{about: "three crashes", crashes: three(segmentCrash("2", 100, exposure("x", 50))), want: Convicted},
		{about: "three crashes long ago", crashes: three(segmentCrash("2", 100, exposure("x", 50))), after: ConvictedFor},
		{about: "one crash reported three times", crashes: []SegmentCrash{segmentCrash("1", 0, exposure("x", -1)), segmentCrash("1", 100, exposure("x", 50)), segmentCrash("1", 200, exposure("x", 150))}, want: Suspect},
		{about: "three crashes under requests sent before the first", crashes: []SegmentCrash{segmentCrash("1", 0, exposure("x", -10)), segmentCrash("2", 1, exposure("x", -10)), segmentCrash("3", 2, exposure("x", -10))}, want: Suspect},
		{about: "three crashes while nothing was answered", crashes: unserved(three(segmentCrash("2", 100, exposure("x", 50)))), want: Suspect},
		{about: "two of five crashes", crashes: append(three(segmentCrash("2", 100, exposure("y", 50))), segmentCrash("4", 60), segmentCrash("5", 70)), want: Suspect},
		{about: "three of seven crashes", crashes: append(three(segmentCrash("2", 100, exposure("x", 50))), segmentCrash("4", 60), segmentCrash("5", 70), segmentCrash("6", 80), segmentCrash("7", 90)), want: Suspect},
		{about: "answered after the last", crashes: three(segmentCrash("2", 100, exposure("x", 50))), then: answer(201), want: Innocent},
		{about: "answered between two", crashes: three(segmentCrash("2", 100, exposure("x", 50))), then: answer(150), want: Suspect},
		{about: "answered before the first", crashes: three(segmentCrash("2", 100, exposure("x", 50))), then: answer(-1), want: Suspect},
		{about: "answered before the first of four", crashes: append(three(segmentCrash("2", 100, exposure("x", 50))), segmentCrash("4", 300, exposure("x", 250))), then: answer(-1), want: Convicted},
		{about: "answered long before the first", crashes: three(segmentCrash("2", 100, exposure("x", 50))), then: answer(-2 * provenFor), want: Convicted},
		{about: "another segment in flight at each", crashes: []SegmentCrash{segmentCrash("1", 0, exposure("x", -1), exposure("y", -1)), segmentCrash("2", 100, exposure("x", 50), exposure("y", 50)), segmentCrash("3", 200, exposure("x", 150), exposure("y", 150))}, want: Suspect},
		{about: "another, proven segment in flight at each", crashes: []SegmentCrash{segmentCrash("1", 0, exposure("x", -1), exposure("y", -1)), segmentCrash("2", 100, exposure("x", 50), exposure("y", 50)), segmentCrash("3", 200, exposure("x", 150), exposure("y", 150))}, then: func(l *SegmentList) { l.Answer(start.Add(-1), testSegment("y")) }, want: Convicted},
		{about: "another segment in flight at each and at one more", crashes: []SegmentCrash{segmentCrash("1", 0, exposure("x", -1), exposure("y", -1)), segmentCrash("2", 100, exposure("x", 50), exposure("y", 50)), segmentCrash("3", 200, exposure("x", 150), exposure("y", 150)), segmentCrash("4", 300, exposure("y", 250))}, want: Suspect},
		{about: "another segment in flight at each of six", crashes: []SegmentCrash{segmentCrash("-1", -200, exposure("x", -250), exposure("y", -250)), segmentCrash("-2", -100, exposure("x", -150), exposure("y", -150)), segmentCrash("1", 0, exposure("x", -1), exposure("y", -1)), segmentCrash("2", 100, exposure("x", 50), exposure("y", 50)), segmentCrash("3", 200, exposure("x", 150), exposure("y", 150)), segmentCrash("4", 300, exposure("x", 250), exposure("y", 250))}, want: Convicted},
	}
	convey.Convey("The verdict on a segment follows from the crashes in any order", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				for seed := range uint64(10) {
					crashes := slices.Clone(test.crashes)
					rng := rand.New(rand.NewPCG(seed, 3))
					rng.Shuffle(len(crashes), func(i, j int) { crashes[i], crashes[j] = crashes[j], crashes[i] })
					var l SegmentList
					for _, c := range crashes {
						l.Add(c)
					}
					if test.then != nil {
						test.then(&l)
					}
					convey.So(l.Classify(start.Add(300+test.after), testSegment("x")), convey.ShouldEqual, test.want)
				}
			})
		}
	})
}

func TestRivalAnswered(t *testing.T) {
	convey.Convey("A segment is convicted when the only other one in flight at the same crashes is answered", t, func() {
		var l SegmentList
		for i := range minSegmentCrashes {
			at := time.Duration(i) * time.Second
			_, convicted := l.Add(segmentCrash(fmt.Sprint(i), at, exposure("x", at-1), exposure("y", at-1)))
			convey.So(convicted, convey.ShouldBeEmpty)
		}
		cleared, convicted := l.Answer(start.Add(time.Minute), testSegment("y"))
		convey.So(cleared, convey.ShouldBeTrue)
		convey.So(convicted, convey.ShouldResemble, []Fingerprint{testSegment("x")})
	})
}

func TestUnproven(t *testing.T) {
	convey.Convey("A suspect is unproven unless it had been answered lately", t, func() {
		for _, answered := range []time.Duration{0, -time.Second, -2 * provenFor} {
			var l SegmentList
			if answered < 0 {
				l.Answer(start.Add(answered), testSegment("x"))
			}
			l.Add(segmentCrash("1", 0, exposure("x", -1)))
			convey.So(l.Unproven(start.Add(1), testSegment("x")), convey.ShouldEqual, answered != -time.Second)
			convey.So(l.Unproven(start.Add(1), testSegment("y")), convey.ShouldBeFalse)
			cleared, _ := l.Answer(start.Add(2), testSegment("x"))
			convey.So(cleared, convey.ShouldBeTrue)
			convey.So(l.Unproven(start.Add(3), testSegment("x")), convey.ShouldBeFalse)
		}
	})
}

func TestSegmentListIsBounded(t *testing.T) {
	convey.Convey("The list is bounded and keeps the crashes that convict", t, func() {
		var l SegmentList
		for i := range minSegmentCrashes {
			at := time.Duration(i) * time.Second
			l.Add(segmentCrash(fmt.Sprint("x", i), at, exposure("x", at-1)))
		}
		for i := range 2 * maxSegmentCrashes {
			l.Add(segmentCrash(fmt.Sprint(i), time.Minute+time.Duration(i), exposure(fmt.Sprint("s", i), 0)))
		}
		convey.So(len(l.crashes), convey.ShouldEqual, maxSegmentCrashes)
		convey.So(l.Classify(start.Add(2*time.Minute), testSegment("x")), convey.ShouldEqual, Convicted)
		for i := range 2 * maxProven {
			l.Answer(start, testSegment(fmt.Sprint("p", i)))
		}
		convey.So(len(l.answered), convey.ShouldEqual, maxProven)
		l.Expire(start.Add(2 * ConvictedFor))
		convey.So(l.Empty(), convey.ShouldBeTrue)
		convey.So(len(l.answered), convey.ShouldEqual, 0)
	})
}

func TestRemoveSegmentCrash(t *testing.T) {
	convey.Convey("A crash that was none convicts no segment, and its absence may convict another", t, func() {
		var l SegmentList
		for i := range minSegmentCrashes {
			at := time.Duration(i) * time.Second
			l.Add(segmentCrash(fmt.Sprint(i), at, exposure("x", at-1)))
			l.Add(segmentCrash(fmt.Sprint("none", i), at+1, exposure("y", at)))
		}
		convey.So(l.Classify(start.Add(time.Minute), testSegment("x")), convey.ShouldEqual, Suspect)
		convicted := l.Remove("none0")
		convey.So(convicted, convey.ShouldResemble, []Fingerprint{testSegment("x")})
		l.Remove("1")
		convey.So(l.Classify(start.Add(time.Minute), testSegment("x")), convey.ShouldEqual, Suspect)
	})
}

// Sound segments of long prompts were convicted when targets crashed, for other reasons,
// sooner than they could begin to answer.
func TestProvenSegmentBeforeAnswer(t *testing.T) {
	tests := []struct {
		about string
		age   time.Duration // of the requests at the crashes
		wait  string        // segment whose usual wait is 60 ns
		want  Verdict
	}{
		{"crashes before the usual wait", 50, "x", Suspect},
		{"crashes after the usual wait", 70, "x", Convicted},
		{"crashes before the usual wait of another segment", 50, "y", Suspect},
		{"crashes after the usual wait of another segment", 70, "y", Convicted},
	}
	convey.Convey("A proven segment is convicted by crashes after its usual wait", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				var l SegmentList
				l.Answer(start.Add(-1), testSegment("x"))
				l.RecordWait(testSegment(test.wait), 40)
				l.RecordWait(testSegment(test.wait), 80)
				for i := range minProvenRecurrences + 1 {
					at := time.Duration(100 * i)
					l.Add(segmentCrash(fmt.Sprint(i), at, exposure("x", at-test.age)))
				}
				convey.So(l.Classify(start.Add(500), testSegment("x")), convey.ShouldEqual, test.want)
			})
		}
	})
}

// Sound segments that few requests use were convicted where many of them were in flight
// at each crash.
func TestCoincidence(t *testing.T) {
	const known, inFlight = 300, 40
	convey.Convey("A segment is convicted if none is expected to be at as many crashes by chance", t, func() {
		var l SegmentList
		for i := range known {
			l.Answer(start.Add(-2*provenFor), testSegment(fmt.Sprint("doc", i)))
		}
		for i, want := range []Verdict{Suspect, Suspect, Suspect, Convicted} {
			at := time.Duration(100 * i)
			c := segmentCrash(fmt.Sprint(i), at, exposure("x", at-50))
			for j := range inFlight {
				c.Exposed = append(c.Exposed, exposure(fmt.Sprint("doc", i*inFlight+j), at-50))
			}
			l.Add(c)
			convey.So(l.Classify(start.Add(500), testSegment("x")), convey.ShouldEqual, want)
		}
	})
}

func TestFewAnswersBetweenCrashes(t *testing.T) {
	convey.Convey("Fewer answers of the service convict a segment that recurs more often", t, func() {
		for _, test := range []struct {
			crashes, answers int
			want             Verdict
		}{{4, 3, Suspect}, {4, 4, Convicted}, {5, 2, Suspect}, {5, 3, Convicted}, {8, 1, Suspect}, {8, 2, Convicted}, {16, 0, Suspect}} {
			var l SegmentList
			var served []time.Time
			for i := range test.crashes {
				at := time.Duration(100 * i)
				c := segmentCrash(fmt.Sprint(i), at, exposure("x", at-50))
				if i > 0 && i <= test.answers {
					served = append(served, start.Add(at-10))
				}
				if i == test.crashes-1 { // the rest
					for len(served) < test.answers {
						served = append(served, start.Add(at-5))
					}
				}
				c.ServedAt, c.Served = time.Time{}, slices.Clone(served)
				l.Add(c)
			}
			convey.So(l.Classify(start.Add(2000), testSegment("x")), convey.ShouldEqual, test.want)
		}
	})
}
