package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// resolveFilter resolves the service of a call and, for completions, the adapter
// version, using the call's configuration.
type resolveFilter struct{}

// Filter implements Filter.
func (resolveFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	if c.Service != "" {
		return resolvePlain(ctx, c, now, next)
	}
	fields, model, err := completionFields(c.Body)
	if err != nil {
		return rejected(outcome.BadRequest, err.Error())
	}
	ref, err := adapter.ParseRef(model)
	if err != nil {
		return rejected(outcome.BadRequest, err.Error())
	}
	found, ref, ok := c.Configuration.Resolve(c.Team.Name, ref)
	if !ok {
		return rejected(outcome.UnknownAdapter, "team "+c.Team.Name+" has no adapter "+model)
	}
	service, ok := c.Team.Service(found.Service)
	if !ok {
		return rejected(outcome.UnknownService, "adapter "+model+" names service "+found.Service+", which does not exist")
	}
	c.Owner = c.Team.Name
	c.Service = found.Service
	c.Base = service.Base
	c.Adapter = adapter.ID{Team: c.Team.Name, Ref: ref}
	c.TargetPath = c.Path
	c.TargetBody = withModel(fields, c.Adapter.String())
	return next.Handle(ctx, c, now)
}

// resolvePlain resolves a call of a plain service, which has no adapter and whose
// body is sent unchanged.
func resolvePlain(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	service, ok := c.Team.Service(c.Service)
	if !ok || service.Kind != configuration.PlainService {
		return rejected(outcome.UnknownService, "team "+c.Team.Name+" has no plain service "+c.Service)
	}
	c.Owner = c.Team.Name
	c.TargetBody = c.Body
	return next.Handle(ctx, c, now)
}

// completionBody is the body of a completion with its field values undecoded.
type completionBody map[string]json.RawMessage

// completionFields returns the fields of a completion's body and the value of its
// "model" field. The error is of kind BadBody if the body cannot be decoded, and of
// kind NoModel if the field is missing or not a string.
func completionFields(body []byte) (completionBody, string, error) {
	var fields completionBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, "", &Error{Op: "read body", Kind: BadBody, Err: err}
	}
	var model string
	if err := json.Unmarshal(fields["model"], &model); err != nil {
		return nil, "", &Error{Op: "read body", Kind: NoModel}
	}
	return fields, model, nil
}

// withModel sets the "model" field and returns the encoded body.
func withModel(fields completionBody, model string) []byte {
	name, err := json.Marshal(model)
	if err != nil {
		panic("entry: cannot encode a model name: " + err.Error())
	}
	fields["model"] = name
	out, err := json.Marshal(fields)
	if err != nil {
		panic("entry: cannot encode a body that was decoded: " + err.Error())
	}
	return out
}
