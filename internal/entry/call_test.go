package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

func TestRepeatable(t *testing.T) {
	version := adapter.ID{Team: "t", Ref: adapter.Ref{Name: "a", Version: 1}}
	convey.Convey("Completions and plain calls with an idempotent method are repeatable unless they have an idempotency key", t, func() {
		for _, c := range []struct {
			call Call
			want bool
		}{
			{Call{Service: "s", Adapter: version, Method: "POST"}, true},
			{Call{Service: "s", Adapter: version, Method: "POST", IdempotencyKey: "k"}, false},
			{Call{Service: "s", Method: "POST"}, false},
			{Call{Service: "s", Method: "PATCH"}, false},
			{Call{Service: "s", Method: "GET"}, true},
			{Call{Service: "s", Method: "PUT"}, true},
			{Call{Service: "s", Method: "PUT", IdempotencyKey: "k"}, false},
		} {
			convey.So(c.call.Repeatable(), convey.ShouldEqual, c.want)
		}
	})
	convey.Convey("A call is not retried once part of the response was sent to the caller", t, func() {
		broken := Result{Outcome: outcome.Unknown, Reason: outcome.EngineFailed}
		c := &Call{Adapter: version, Response: &fakeResponder{}}
		convey.So(retryable(c, broken), convey.ShouldBeTrue)
		c.Response.Start(200, "text/event-stream")
		convey.So(retryable(c, broken), convey.ShouldBeFalse)
	})
}

// changingConfigurations returns a configuration with a new revision at each call
// of Current.
type changingConfigurations struct{ calls int }

func (f *changingConfigurations) Current() *configuration.Configuration {
	f.calls++
	return configuration.New(uint64(f.calls), []configuration.Team{{
		Name:     "t",
		Keys:     []configuration.Digest{configuration.DigestKey("key")},
		Services: []configuration.Service{{Name: "s", Kind: configuration.ModelService, Base: "b"}},
	}}, []configuration.Adapter{{
		Team: "t", Name: "a", Service: "s",
		Versions: []adapter.Version{1, 2}, Current: adapter.Version(f.calls),
	}})
}

// capturingHandler records the call and answers it.
type capturingHandler struct{ call *Call }

func (h *capturingHandler) Handle(_ context.Context, c *Call, _ time.Time) Result {
	h.call = c
	return Result{Outcome: outcome.Answered}
}

func TestFilterChainOneRevision(t *testing.T) {
	convey.Convey("A call uses one configuration revision even if a newer one comes into force meanwhile", t, func() {
		cfgs := &changingConfigurations{}
		last := &capturingHandler{}
		h := chain(last, identifyFilter{configurations: cfgs}, resolveFilter{})
		h.Handle(context.Background(), &Call{BearerKey: "key", Body: []byte(`{"model":"a"}`)}, testTime)
		convey.So(cfgs.calls, convey.ShouldEqual, 1)
		convey.So(last.call.Configuration.Revision, convey.ShouldEqual, 1)
		convey.So(last.call.Adapter.String(), convey.ShouldEqual, "t/a@1")
		convey.So(string(last.call.TargetBody), convey.ShouldEqual, `{"model":"t/a@1"}`)
	})
}

func TestResponse(t *testing.T) {
	convey.Convey("A retry discards what a failed attempt has written to the buffered response", t, func() {
		rc := app.NewContext(0)
		r := &response{rc: rc}
		r.Start(500, "text/plain")
		convey.So(r.Write([]byte("half an ans")), convey.ShouldBeNil)
		r.Start(200, "application/json")
		convey.So(r.Write([]byte("{}")), convey.ShouldBeNil)
		convey.So(r.Started(), convey.ShouldBeFalse)
		r.finish(&Call{}, Result{Outcome: outcome.Answered})
		convey.So(rc.Response.StatusCode(), convey.ShouldEqual, 200)
		convey.So(string(rc.Response.Body()), convey.ShouldEqual, "{}")
		convey.So(string(rc.Response.Header.Peek(outcomeHeader)), convey.ShouldEqual, "answered")
	})
	convey.Convey("An error response reports an unknown outcome in header and body", t, func() {
		rc := app.NewContext(0)
		(&response{rc: rc}).finish(&Call{ID: "r"}, Result{Outcome: outcome.Unknown, Reason: outcome.EngineFailed})
		convey.So(rc.Response.StatusCode(), convey.ShouldEqual, 502)
		convey.So(string(rc.Response.Header.Peek(outcomeHeader)), convey.ShouldEqual, "unknown")
		convey.So(string(rc.Response.Body()), convey.ShouldContainSubstring, `"outcome":"unknown","request_id":"r"`)
	})
}

// FuzzCompletionFields guards against bodies, such as those with a repeated "model"
// field, that still name the caller's model after withModel.
func FuzzCompletionFields(f *testing.F) {
	for _, s := range []string{`{"model":"a@1","prompt":"x"}`, `{"model":1}`, `[]`, `{`, `{"model":"a","model":"b"}`, `null`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		fields, _, err := completionFields(body)
		if err != nil {
			return
		}
		if _, model, err := completionFields(withModel(fields, "t/a@1")); err != nil || model != "t/a@1" {
			t.Fatalf("withModel did not set the model of %q: got %q, %v", body, model, err)
		}
	})
}
