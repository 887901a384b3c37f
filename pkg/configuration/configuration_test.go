package configuration

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
)

func sampleConfiguration(revision uint64, current adapter.Version) *Configuration {
	return New(revision,
		[]Team{
			{Name: "tessaro", Keys: []Digest{DigestKey("t")}, Services: []Service{
				{Name: "assistente", Base: "base-7b", Lending: Lending{Share: 0.25, Borrowers: []string{"dobrescu"}}},
				{Name: "fees", Kind: PlainService},
			}},
			{Name: "dobrescu", Keys: []Digest{DigestKey("d")}},
		},
		[]Adapter{
			{Team: "tessaro", Name: "notices", Service: "assistente", Versions: []adapter.Version{1, 2}, Current: current},
			{Team: "tessaro", Name: "dossiers", Service: "assistente", Versions: []adapter.Version{1}, Current: 1},
		})
}

func TestSplitJoin(t *testing.T) {
	convey.Convey("Join reverses Split", t, func() {
		c := sampleConfiguration(7, 2)
		got, err := Join(7, Split(c))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got.Teams, convey.ShouldResemble, c.Teams)
		convey.So(got.Adapters, convey.ShouldResemble, c.Adapters)
	})
	convey.Convey("A change to one adapter changes one section", t, func() {
		a, b := Split(sampleConfiguration(1, 1)), Split(sampleConfiguration(2, 2))
		changed := 0
		for i := range a {
			if a[i].Digest != b[i].Digest {
				changed++
			}
		}
		convey.So(changed, convey.ShouldEqual, 1)
	})
	convey.Convey("Join rejects a section with a flipped bit", t, func() {
		s := Split(sampleConfiguration(1, 1))
		s[0].Data = append([]byte(nil), s[0].Data...)
		s[0].Data[len(s[0].Data)-1] ^= 1
		_, err := Join(1, s)
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func TestResolve(t *testing.T) {
	c := sampleConfiguration(1, 2)
	tests := []struct {
		team string
		ref  adapter.Ref
		want adapter.Ref
		ok   bool
	}{
		{"tessaro", adapter.Ref{Name: "notices"}, adapter.Ref{Name: "notices", Version: 2}, true},
		{"tessaro", adapter.Ref{Name: "notices", Version: 1}, adapter.Ref{Name: "notices", Version: 1}, true},
		{"tessaro", adapter.Ref{Name: "notices", Version: 3}, adapter.Ref{Name: "notices", Version: 3}, false},
		{"tessaro", adapter.Ref{Name: "none"}, adapter.Ref{}, false},
		{"dobrescu", adapter.Ref{Name: "notices"}, adapter.Ref{}, false},
	}
	convey.Convey("Resolve finds only the adapters and versions of the given team", t, func() {
		for _, tt := range tests {
			_, got, ok := c.Resolve(tt.team, tt.ref)
			convey.So(ok, convey.ShouldEqual, tt.ok)
			convey.So(got, convey.ShouldResemble, tt.want)
		}
	})
	convey.Convey("Lends is true for the listed borrowers only", t, func() {
		s, _ := c.Team("tessaro").Service("assistente")
		convey.So(s.Lending.Lends("dobrescu"), convey.ShouldBeTrue)
		convey.So(s.Lending.Lends("others"), convey.ShouldBeFalse)
	})
}

// FuzzDecodeRoot checks that no stored bytes make DecodeRoot panic, and that it
// accepts no root that it rejects after EncodeRoot.
func FuzzDecodeRoot(f *testing.F) {
	f.Add(EncodeRoot(NewRoot(3, "c", "o", Split(sampleConfiguration(3, 1)))))
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRoot(b)
		if err != nil {
			return
		}
		if _, err := DecodeRoot(EncodeRoot(r)); err != nil {
			t.Fatalf("decoding a re-encoded root: %v", err)
		}
	})
}

// plannedAdapters is the number of adapters that the system is designed for.
const plannedAdapters = 63000

func plannedSections() []Section {
	adapters := make([]Adapter, plannedAdapters)
	for i := range adapters {
		adapters[i] = Adapter{
			Team:     "tessaro",
			Name:     "adapter-" + strconv.Itoa(i),
			Service:  "assistente",
			Versions: []adapter.Version{1},
			Current:  1,
		}
	}
	return Split(New(1, []Team{{Name: "tessaro"}}, adapters))
}

// BenchmarkJoin measures the time to decode a new revision and the heap memory
// that it retains per adapter, at the planned number of adapters.
func BenchmarkJoin(b *testing.B) {
	sections := plannedSections()
	var before, after runtime.MemStats
	for i := 0; i < b.N; i++ {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, err := Join(1, sections)
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(c)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/plannedAdapters, "B/adapter")
}

func BenchmarkResolve(b *testing.B) {
	c, err := Join(1, plannedSections())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		if _, _, ok := c.Resolve("tessaro", adapter.Ref{Name: "adapter-31234"}); !ok {
			b.Fatal("adapter is missing")
		}
	}
}
