package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// errorWire is the JSON body of an error response.
type errorWire struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

// errorBody returns the JSON body that describes result.
func errorBody(c *Call, result Result) []byte {
	message := result.Detail
	if message == "" {
		message = result.Reason.String()
	}
	b, err := json.Marshal(errorWire{Error: errorFields{
		Code:      result.Reason.String(),
		Message:   message,
		Outcome:   result.Outcome.String(),
		RequestID: c.ID,
	}})
	if err != nil {
		panic("entry: cannot encode an error: " + err.Error())
	}
	return b
}

// writeError writes the error response for result, with the outcome and, if set,
// the Retry-After header.
func writeError(rc *app.RequestContext, c *Call, result Result) {
	rc.Header(outcomeHeader, result.Outcome.String())
	if result.RetryAfter > 0 {
		rc.Header("Retry-After", strconv.Itoa(int(math.Ceil(result.RetryAfter.Seconds()))))
	}
	status := result.Reason.Status()
	if result.Outcome == outcome.Unknown && result.Reason == outcome.NoReason {
		status = 502
	}
	rc.Data(status, "application/json", errorBody(c, result))
}
