package holder

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/borageusher/borageusher/pkg/placement"
)

// drawProcesses draws up to 40 processes in up to five zones.
func drawProcesses(t *rapid.T) []Process {
	var all []Process
	for i := range rapid.IntRange(1, 40).Draw(t, "processes") {
		name := fmt.Sprint(i)
		all = append(all, Process{
			Name: name, Hash: placement.Hash(name), Zone: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "zone")),
			Distance: rapid.IntRange(0, 2).Draw(t, "distance"),
		})
	}
	return all
}

// TestSpreadChange guards against holders that change more than the processes do, so that
// another process does not find the state.
func TestSpreadChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawProcesses(t)
		zones := map[string]bool{}
		for _, p := range all {
			zones[p.Zone] = true
		}
		key, perZone := rapid.Uint64().Draw(t, "key"), rapid.IntRange(1, 3).Draw(t, "per zone")
		holders := func(processes []Process, zones int) []Process {
			var out []Process
			set := NewSet(processes)
			for _, i := range set.Spread(key, perZone*zones, 0) {
				out = append(out, processes[i])
			}
			return out
		}
		before := holders(all, len(zones))
		count := map[string]int{}
		for _, p := range before {
			count[p.Zone]++
		}
		for _, p := range all {
			if n := count[p.Zone]; n == 0 || n > perZone {
				t.Fatalf("%d holders in zone %s", n, p.Zone)
			}
		}
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(all), lost, lost+1)
		if !slices.ContainsFunc(rest, func(p Process) bool { return p.Zone == all[lost].Zone }) {
			delete(zones, all[lost].Zone)
		}
		after := holders(rapid.Permutation(rest).Draw(t, "order"), len(zones))
		for _, p := range before {
			if p != all[lost] && !slices.Contains(after, p) {
				t.Fatalf("the loss of %v ended %v as a holder", all[lost], p)
			}
		}
	})
}

func best(key uint64, processes []Process) Choice {
	s := NewSet(processes)
	return s.Best(key)
}

// TestBestChange guards against two processes that choose different holders although they
// know the same processes, and against a change of one that moves what others hold.
func TestBestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, key := drawProcesses(t), rapid.Uint64().Draw(t, "key")
		c := best(key, all)
		if c.Index < 0 || !c.First {
			t.Fatalf("choice %+v among processes that can all be reached", c)
		}
		chosen := all[c.Index]
		for _, p := range all {
			if p.Distance < chosen.Distance {
				t.Fatalf("%v is nearer than %v", p, chosen)
			}
		}
		order := rapid.Permutation(all).Draw(t, "order")
		if again := order[best(key, order).Index]; again != chosen {
			t.Fatalf("%v was chosen in another order, before %v", again, chosen)
		}
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		all[lost].Absent = true
		after := best(key, all)
		switch {
		case lost != c.Index:
			if after != c {
				t.Fatalf("the loss of %v moved the choice from %+v to %+v", all[lost], c, after)
			}
		case len(all) == 1:
			if after.Index >= 0 {
				t.Fatalf("choice %+v without a process that can be reached", after)
			}
		case after.Index == lost || after.First:
			t.Fatalf("choice %+v after the loss of the holder %d", after, lost)
		}
	})
}

// A holder must not go on with its state if another process was the holder in between, and
// must if it merely had no requests.
func TestReplaced(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name     string
		servedAt time.Time
		age      time.Duration
		want     bool
	}{
		{"never served", time.Time{}, 0, false},
		{"a new user of a holder in service", now.Add(-100 * time.Millisecond), 0, false},
		{"idle, but still the holder", now.Add(-time.Minute), 2 * time.Minute, false},
		{"another holder in between", now.Add(-time.Minute), 2 * time.Second, true},
	}
	for _, test := range tests {
		if got := Replaced(now, test.servedAt, test.age); got != test.want {
			t.Errorf("%s: replaced is %t, want %t", test.name, got, test.want)
		}
	}
}

func TestTermAndView(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var term Term
	one, two := new(int), new(int)
	if !term.Choose(now, one) || term.Choose(now.Add(time.Second), one) {
		t.Error("a term must begin with the first choice only")
	}
	if age := term.Age(now.Add(2 * time.Second)); age != 2*time.Second {
		t.Errorf("age %s, want 2s", age)
	}
	if !term.Choose(now.Add(3*time.Second), two) || term.Age(now.Add(4*time.Second)) != time.Second {
		t.Error("a term must begin again with another holder")
	}
	var m Membership
	var v View
	if !v.Outdated(&m) || v.Outdated(&m) {
		t.Error("a view must be outdated once at first")
	}
	if m.Change(); !v.Outdated(&m) || v.Outdated(&m) {
		t.Error("a view must be outdated once after a change")
	}
}

// BenchmarkSpread measures the choice of the holders of one key among processes in five
// availability zones, BenchmarkBest that of a single holder.
func BenchmarkSpread(b *testing.B) {
	benchmark(b, func(key uint64, s *Set) { s.Spread(key, 5, 0) })
}

func BenchmarkBest(b *testing.B) {
	benchmark(b, func(key uint64, s *Set) { s.Best(key) })
}

func benchmark(b *testing.B, choose func(uint64, *Set)) {
	for _, n := range []int{60, 200, 600} {
		var all []Process
		for i := range n {
			name := fmt.Sprint(i)
			all = append(all, Process{Name: name, Hash: placement.Hash(name), Zone: fmt.Sprint(i % 5)})
		}
		set := NewSet(all)
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				choose(placement.Mix(uint64(i)), &set)
			}
		})
	}
}
