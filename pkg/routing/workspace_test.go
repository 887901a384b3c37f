package routing

import (
	"math"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestWorkspace(t *testing.T) {
	convey.Convey("Given workspaces of which two claim the same key", t, func() {
		var ws Workspaces
		ws.Add(Workspace{Name: "first", Urgency: 1}, []KeyDigest{DigestOf("a"), DigestOf("b")})
		ws.Add(Workspace{Name: "second"}, []KeyDigest{DigestOf("b"), DigestOf("c")})
		cfg := New(1, nil, nil, Limits{})
		convey.So(cfg.HasWorkspaces(), convey.ShouldBeFalse)
		cfg.SetWorkspaces(ws)
		convey.So(cfg.HasWorkspaces(), convey.ShouldBeTrue)
		convey.Convey("a key has one holder", func() {
			for key, want := range map[string]string{"a": "first", "b": "first", "c": "second"} {
				w, ok := cfg.Workspace(DigestOf(key))
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(w.Name, convey.ShouldEqual, want)
			}
		})
		convey.Convey("an unknown key and the empty one have none", func() {
			for _, key := range []string{"", "d", "A"} {
				_, ok := cfg.Workspace(DigestOf(key))
				convey.So(ok, convey.ShouldBeFalse)
			}
		})
	})
}

// TestNoWorkspaceLeft guards against a configuration that admits everyone, or can't be used,
// once its last workspace was removed.
func TestNoWorkspaceLeft(t *testing.T) {
	cfg := New(1, []Route{{Host: "h", Prefix: "/", Urgency: 3, Public: true}}, nil, Limits{})
	cfg.SetWorkspaces(Workspaces{})
	r, _ := cfg.Match("h", "/")
	if _, ok := cfg.Workspace(DigestOf("")); ok || !cfg.HasWorkspaces() || cfg.Urgency(nil, r, false) != 3 {
		t.Error("a configuration without workspaces is not restricted to public routes")
	}
}

// A quota of tokens that counts only prompts would let long responses through.
func TestQuotaCost(t *testing.T) {
	tests := []struct {
		quota            Quota
		prompt, response int
		want             float64
	}{
		{Quota{}, 600, 80, 1},
		{Quota{Unit: Tokens, PlainTokens: 200}, 600, 80, 680},
		{Quota{Unit: Tokens, PlainTokens: 200}, 0, 0, 200},
		{Quota{Unit: Tokens}, math.MaxInt, math.MaxInt, 2 * float64(math.MaxInt)}, // an overflow would add credit
	}
	for _, test := range tests {
		if got := test.quota.Cost(test.prompt, test.response); got != test.want {
			t.Errorf("%+v.Cost(%d, %d) = %v, want %v", test.quota, test.prompt, test.response, got, test.want)
		}
	}
}
