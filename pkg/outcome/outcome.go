package outcome

// Outcome is the outcome of a request, as far as it is known.
type Outcome uint8

// The outcomes. The zero value is Unknown, the only one that is always safe to
// report.
const (
	Unknown Outcome = iota
	Answered
	NotRun
)

// String returns the outcome's name on the wire and in headers.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	}
	return "unknown"
}
