package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
)

func TestReadiness(t *testing.T) {
	convey.Convey("Changes of readiness are logged once, and unready time is counted by reason", t, func() {
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		r := &readiness{log: event.New(&log, "entryd", "e1", zerolog.InfoLevel), scope: scope}
		start := time.Unix(100, 0)
		for _, step := range []struct {
			ms     int
			reason string
		}{{0, "no_configuration"}, {300, "no_configuration"}, {500, "no_targets"}, {700, ""}, {5000, ""}, {6000, "stopping"}, {6500, "stopping"}} {
			r.record(start.Add(time.Duration(step.ms)*time.Millisecond), step.reason)
		}
		convey.So(strings.Count(log.String(), `"name":"unready"`), convey.ShouldEqual, 3)
		convey.So(strings.Count(log.String(), `"name":"ready"`), convey.ShouldEqual, 1)
		counted := map[string]int64{}
		for _, c := range scope.Snapshot().Counters() {
			counted[c.Tags()["reason"]] = c.Value()
		}
		convey.So(counted, convey.ShouldResemble, map[string]int64{"no_configuration": 500, "no_targets": 200, "stopping": 500})
	})
	convey.Convey("The reasons state what is missing", t, func() {
		tg := newTestGateway(t)
		p := &process{gateway: tg.gateway, fleet: tg.fleet}
		convey.So(p.unreadyReason(), convey.ShouldEqual, "no_configuration")
		p.current.Store(tg.gateway.Configuration.Load())
		convey.So(p.unreadyReason(), convey.ShouldBeEmpty)
		tg.fleet.versionsListed = false
		convey.So(p.unreadyReason(), convey.ShouldEqual, "no_versions")
		tg.fleet.targetsListed = false
		convey.So(p.unreadyReason(), convey.ShouldEqual, "no_targets")
		tg.gateway.stopping.Store(true)
		convey.So(p.unreadyReason(), convey.ShouldEqual, "stopping")
	})
}
