package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// modelsWire is the response to GET /v1/models, in the format of the OpenAI API.
type modelsWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels handles GET /v1/models: it lists the versions of the caller's adapters.
func (e *Entry) serveModels(_ context.Context, rc *app.RequestContext) {
	c, ok := e.newCall(rc)
	if !ok {
		return
	}
	cfg := e.opts.Configurations.Current()
	if cfg == nil {
		writeError(rc, c, rejected(outcome.NotReady, "no configuration is in force yet"))
		return
	}
	team := cfg.TeamByKey(configuration.DigestKey(c.BearerKey))
	if team == nil {
		writeError(rc, c, rejected(outcome.BadKey, "the bearer key belongs to no team"))
		return
	}
	list := modelsWire{Object: "list", Data: []modelWire{}}
	for _, a := range cfg.AdaptersOf(team.Name) {
		for _, v := range a.Versions {
			id := adapter.Ref{Name: a.Name, Version: v}.String()
			list.Data = append(list.Data, modelWire{ID: id, Object: "model", OwnedBy: team.Name})
		}
	}
	rc.Header(outcomeHeader, outcome.Answered.String())
	rc.JSON(200, list)
}
