package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testFingerprint(name string) Fingerprint { return FingerprintOf(Request{Body: []byte(name)}) }

// crashOf returns a crash at start+after with the named requests in flight.
func crashOf(name string, after time.Duration, inFlight ...string) Crash {
	c := Crash{Name: name, Target: "t" + name, At: start.Add(after)}
	for _, n := range inFlight {
		c.InFlight = append(c.InFlight, testFingerprint(n))
	}
	return c
}

func TestClassify(t *testing.T) {
	tests := []struct {
		about     string
		crashes   []Crash
		clear     string
		after     time.Duration
		want      Verdict // on "r"
		wantOther Verdict // on "a"
	}{
		{about: "no crash"},
		{about: "one crash", crashes: []Crash{crashOf("1", 0, "r", "a")}, want: Suspect, wantOther: Suspect},
		{about: "one crash, long ago", crashes: []Crash{crashOf("1", 0, "r", "a")}, after: SuspectFor},
		{about: "two crashes", crashes: []Crash{crashOf("1", 0, "r", "a"), crashOf("2", 1, "r", "b")}, want: Convicted, wantOther: Suspect},
		{about: "two crashes, long ago", crashes: []Crash{crashOf("1", 0, "r"), crashOf("2", 0, "r")}, after: ConvictedFor},
		{about: "two crashes far apart", crashes: []Crash{crashOf("1", 0, "r"), crashOf("2", SuspectFor+1, "r")}, after: SuspectFor + 1, want: Suspect},
		{about: "same two requests in flight at both crashes", crashes: []Crash{crashOf("1", 0, "r", "a"), crashOf("2", 1, "r", "a")}, want: Suspect, wantOther: Suspect},
		{about: "same two requests in flight at both crashes, one answered", crashes: []Crash{crashOf("1", 0, "r", "a"), crashOf("2", 1, "r", "a")}, clear: "a", want: Convicted},
		{about: "a third crash with one of them in flight", crashes: []Crash{crashOf("1", 0, "r", "a"), crashOf("2", 1, "r", "a"), crashOf("3", 2, "r")}, want: Convicted, wantOther: Suspect},
		{about: "one crash added twice", crashes: []Crash{crashOf("1", 0, "r"), crashOf("1", 0, "r")}, want: Suspect},
		{about: "same request twice in flight at one crash", crashes: []Crash{crashOf("1", 0, "r", "r")}, want: Suspect},
		{about: "answered", crashes: []Crash{crashOf("1", 0, "r", "a")}, clear: "r", wantOther: Suspect},
	}
	convey.Convey("The verdict on a request follows from the crashes", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				var l List
				for _, c := range test.crashes {
					l.Add(c)
				}
				if test.clear != "" {
					l.Clear(testFingerprint(test.clear))
				}
				now := start.Add(2 + test.after)
				convey.So(l.Classify(now, testFingerprint("r")), convey.ShouldEqual, test.want)
				convey.So(l.Classify(now, testFingerprint("a")), convey.ShouldEqual, test.wantOther)
			})
		}
	})
}

// TestSinglePoisonRequest checks that, of the requests in flight at a crash, the one
// that crashes its target again is convicted and no other. The suspects run one at a
// time in random order, and an answer clears them.
func TestSinglePoisonRequest(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var l List
		crashes := 0
		crash := func(inFlight []string) {
			crashes++
			l.Add(crashOf(fmt.Sprint(crashes), time.Duration(crashes), inFlight...))
		}
		var innocents []string
		for i := range rng.IntN(8) {
			innocents = append(innocents, fmt.Sprint("innocent", i))
		}
		crash(append([]string{"poison"}, innocents...))
		waiting := append([]string{"poison"}, innocents...)
		rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, name := range waiting {
			if name == "poison" {
				crash([]string{name, "other"})
				continue
			}
			l.Clear(testFingerprint(name))
		}
		now := start.Add(time.Minute)
		if got := l.Classify(now, testFingerprint("poison")); got != Convicted {
			t.Fatalf("seed %d: poison request is %v", seed, got)
		}
		for _, name := range append(innocents, "other") {
			if got := l.Classify(now, testFingerprint(name)); got == Convicted {
				t.Fatalf("seed %d: %s is %v", seed, name, got)
			}
		}
	}
}

func TestExpire(t *testing.T) {
	convey.Convey("Crashes expire and can be removed", t, func() {
		var l List
		l.Add(crashOf("1", 0, "r"))
		l.Expire(start.Add(ConvictedFor - 1))
		convey.So(l.Empty(), convey.ShouldBeFalse)
		convey.So(l.Targets(testFingerprint("r")), convey.ShouldResemble, []string{"t1"})
		l.Expire(start.Add(ConvictedFor))
		convey.So(l.Empty(), convey.ShouldBeTrue)
		l.Add(crashOf("2", 0, "r"))
		l.Remove("2")
		convey.So(l.Empty(), convey.ShouldBeTrue)
	})
}

func TestFingerprintOf(t *testing.T) {
	convey.Convey("The fingerprint separates the fields", t, func() {
		a := FingerprintOf(Request{Team: "ab", Path: "c"})
		convey.So(a, convey.ShouldNotEqual, FingerprintOf(Request{Team: "a", Path: "bc"}))
		convey.So(a, convey.ShouldEqual, FingerprintOf(Request{Team: "ab", Path: "c"}))
	})
}
