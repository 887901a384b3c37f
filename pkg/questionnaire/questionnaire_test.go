package questionnaire

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
)

const validQuestionnaire = `[team]
name = tessaro
key_digests = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08

[service.assistente]
kind = model
base = base-7b
lend_share = 0.25
lend_to = dobrescu

[service.fees]
kind = plain

[adapters.assistente]
notices = 1, 2*
dossiers = 1*
`

func TestParse(t *testing.T) {
	convey.Convey("Parse returns the team, services and adapters", t, func() {
		a, err := Parse("t.ini", []byte(validQuestionnaire))
		convey.So(err, convey.ShouldBeNil)
		convey.So(a.Team.Keys, convey.ShouldResemble, []configuration.Digest{configuration.DigestKey("test")})
		convey.So(len(a.Team.Services), convey.ShouldEqual, 2)
		convey.So(a.Adapters[0], convey.ShouldResemble, configuration.Adapter{
			Team: "tessaro", Name: "notices", Service: "assistente", Versions: []adapter.Version{1, 2}, Current: 2,
		})
	})
	bad := []struct{ from, to, want string }{
		{"name = tessaro", "name = Tessaro", `[team] name: found "Tessaro"`},
		{"1, 2*", "1, 2", `[adapters.assistente] notices: found "1, 2", allowed is versions`},
		{"1, 2*", "1*, 2*", `[adapters.assistente] notices`},
		{"1, 2*", "2, 2*", `each version once`},
		{"0.25", "1.25", `[service.assistente] lend_share: found "1.25", allowed is a number from 0 to 1`},
		{"lend_to = dobrescu", "", `[service.assistente] lend_to: found nothing`},
		{"kind = plain", "kind = plane", `allowed is one of model, plain`},
		{"[adapters.assistente]", "[adapters.fees]", `[adapters.fees]`},
		{"kind = plain", "kind = plain\ncolour = red", `[service.fees] colour: unknown key`},
	}
	convey.Convey("An error states the section, the key and the allowed values", t, func() {
		for _, b := range bad {
			_, err := Parse("t.ini", []byte(strings.Replace(validQuestionnaire, b.from, b.to, 1)))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, b.want)
		}
	})
}

func TestGenerate(t *testing.T) {
	convey.Convey("Generate replaces the answering team's entries and keeps the other teams", t, func() {
		a, err := Parse("t.ini", []byte(validQuestionnaire))
		convey.So(err, convey.ShouldBeNil)
		other := Answers{Team: configuration.Team{Name: "dobrescu"}}
		first := Generate(nil, a, other)
		convey.So(first.Revision, convey.ShouldEqual, 1)
		a.Adapters = a.Adapters[:1]
		second := Generate(first, a)
		convey.So(second.Revision, convey.ShouldEqual, 2)
		convey.So(second.Team("dobrescu"), convey.ShouldNotBeNil)
		convey.So(len(second.Adapters), convey.ShouldEqual, 1)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validQuestionnaire)
	f.Add("[team]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse("t.ini", []byte(text)) // Parse must not panic, whatever it returns
	})
}
