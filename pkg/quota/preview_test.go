package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPreview guards against previews that change the account or differ from the decision.
func TestPreview(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		now := time.Unix(1000, 0)
		a := NewAccount(now, Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 6400})
		a.SetLimit(Limit{PerSecond: 3200, Burst: 3200, Version: 1}, 4)
		if random.IntN(2) == 0 {
			a.SetIssuer(now, true, true)
		}
		for id := range uint64(20) {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			if _, ok := a.Request(now); ok && random.IntN(4) > 0 {
				a.Apply(now, Answer{Granted: float64(random.IntN(800)), Short: random.IntN(2) == 0, Wait: time.Duration(random.IntN(2)) * 40 * time.Millisecond})
			}
			w := Waiter{ID: id, Urgency: random.IntN(3), Cost: float64(1 + random.IntN(900)), Until: now.Add(time.Duration(random.IntN(200)) * time.Millisecond)}
			before := describe(a)
			p := a.Preview(now, w)
			if after := describe(a); after != before {
				t.Fatalf("seed %d: the account changed from\n%s\nto\n%s", seed, before, after)
			}
			if b := a.Balance(now); b != p.Balance {
				t.Fatalf("seed %d: balance %v, previewed %v", seed, b, p.Balance)
			}
			a.Add(now, w)
			var got Decision
			decided := false
			for _, d := range a.Decide(now) {
				if d.ID == id {
					got, decided = d, true
				}
			}
			if decided != p.Decided || got != p.Decision {
				t.Fatalf("seed %d: decided %v %+v, previewed %+v", seed, decided, got, p)
			}
		}
	}
}

// describe returns the state of an account.
func describe(a *Account) string {
	s := fmt.Sprintf("%+v", *a)
	for u := range 3 {
		if m := a.byUrgency[u]; m != nil {
			s += fmt.Sprintf(" %d:%+v", u, *m)
		}
	}
	return s
}
