package entry

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/borageusher/borageusher/internal/spread"
)

// RevisionsPath is where operators ask in which processes a revision is in force.
const RevisionsPath = "/operators/revisions"

// maxSurveyWait bounds how long one question of an operator may take.
const maxSurveyWait = time.Minute

// Surveyor finds out which revision is in force in each process.
type Surveyor interface {
	Survey(ctx context.Context, revision uint64, wait time.Duration) spread.Report
}

// ReportJSON is the answer at RevisionsPath.
type ReportJSON struct {
	Processes []ProcessJSON `json:"processes"`
	Behind    []string      `json:"behind"`
	Unseen    []string      `json:"unseen"`
}

// ProcessJSON is one process of a ReportJSON.
type ProcessJSON struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
}

// RegisterStatus adds the operators' routes to h. Without a key there are none.
func RegisterStatus(h *server.Hertz, key string, surveyor Surveyor) {
	if key == "" {
		return
	}
	h.GET(RevisionsPath, func(ctx context.Context, rc *app.RequestContext) {
		given := bearerKey(string(rc.GetHeader("Authorization")))
		if subtle.ConstantTimeCompare([]byte(given), []byte(key)) != 1 {
			rc.AbortWithStatus(401)
			return
		}
		serveRevisions(ctx, rc, surveyor)
	})
}

func serveRevisions(ctx context.Context, rc *app.RequestContext, surveyor Surveyor) {
	revision, err := strconv.ParseUint(rc.Query("revision"), 10, 64)
	if err != nil {
		rc.String(400, "revision: want a number\n")
		return
	}
	wait, err := time.ParseDuration(rc.Query("wait"))
	if err != nil || wait <= 0 || wait > maxSurveyWait {
		rc.String(400, "wait: want a time up to %v\n", maxSurveyWait)
		return
	}
	body, err := json.Marshal(reportToJSON(surveyor.Survey(ctx, revision, wait)))
	if err != nil {
		panic("entry: cannot encode a report: " + err.Error())
	}
	rc.Data(200, "application/json", body)
}

func reportToJSON(r spread.Report) ReportJSON {
	out := ReportJSON{Behind: r.Behind, Unseen: r.Unseen}
	for _, p := range r.Processes {
		out.Processes = append(out.Processes, ProcessJSON{Name: p.Name, Role: p.Role, Revision: p.Revision})
	}
	return out
}
