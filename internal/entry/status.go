package entry

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/borageusher/borageusher/internal/gossip"
)

// RevisionsPath is the HTTP path at which operators query which processes have a
// configuration revision in force.
const RevisionsPath = "/operators/revisions"

// maxSurveyWait is the largest value of the wait parameter.
const maxSurveyWait = time.Minute

// Surveyor determines which revision is in force in each process, waiting up to
// wait for revision to be in force everywhere.
type Surveyor interface {
	Survey(ctx context.Context, revision uint64, wait time.Duration) gossip.Report
}

// ReportJSON is the response body at RevisionsPath. Its fields are those of
// gossip.Report.
type ReportJSON struct {
	Processes []ProcessJSON `json:"processes"` // processes that answered
	Behind    []string      `json:"behind"`    // names of the processes below the queried revision
	Unseen    []string      `json:"unseen"`    // names of the targets whose revision is not known
}

// ProcessJSON is one process of a ReportJSON.
type ProcessJSON struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
}

// RegisterStatus adds the operators' routes, authenticated by key, to h. It adds
// none if key is empty.
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

// serveRevisions handles GET requests to RevisionsPath. The query parameters are
// revision, an unsigned integer, and wait, a Go duration of at most maxSurveyWait.
func serveRevisions(ctx context.Context, rc *app.RequestContext, surveyor Surveyor) {
	revision, err := strconv.ParseUint(rc.Query("revision"), 10, 64)
	if err != nil {
		rc.String(400, "revision: must be an unsigned integer\n")
		return
	}
	wait, err := time.ParseDuration(rc.Query("wait"))
	if err != nil || wait <= 0 || wait > maxSurveyWait {
		rc.String(400, "wait: must be a positive duration of at most %v\n", maxSurveyWait)
		return
	}
	body, err := json.Marshal(reportToJSON(surveyor.Survey(ctx, revision, wait)))
	if err != nil {
		panic("entry: cannot encode a report: " + err.Error())
	}
	rc.Data(200, "application/json", body)
}

func reportToJSON(r gossip.Report) ReportJSON {
	out := ReportJSON{Behind: r.Behind, Unseen: r.Unseen}
	for _, p := range r.Processes {
		out.Processes = append(out.Processes, ProcessJSON{Name: p.Name, Role: p.Role, Revision: p.Revision})
	}
	return out
}
