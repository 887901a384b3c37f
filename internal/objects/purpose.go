package objects

// Purpose is the purpose of a call to the object API. It determines the call's
// priority and labels its metrics.
type Purpose string

// The purposes of calls. reservedShare defines their priorities.
const (
	ForClaims        Purpose = "claims"        // claims to run non-idempotent requests
	ForSuspects      Purpose = "suspects"      // requests that were in flight at a crash
	ForOutcomes      Purpose = "outcomes"      // outcomes and deletions of claims
	ForRegistration  Purpose = "registration"  // epochs and states of targets
	ForConfiguration Purpose = "configuration" // the root and its sections
	ForMembers       Purpose = "members"       // registrations of other processes
	ForVMs           Purpose = "vms"           // the list of live and leaving VMs
	ForOperator      Purpose = "operator"      // commands of an operator
	unspecified      Purpose = "unnamed"       // of a client without a purpose
)

// reservedShare returns the share of a full bucket that calls for p must leave to
// calls of higher priority.
func (p Purpose) reservedShare() float64 {
	switch p {
	case ForClaims, ForSuspects:
		return 0
	case ForOutcomes, ForRegistration, ForOperator:
		return 0.25
	}
	return 0.5
}

// WithPurpose returns a client whose calls have the purpose p. It shares the
// budget and the metrics of c.
func (c *Client) WithPurpose(p Purpose) *Client {
	view := *c
	view.purpose = p
	return &view
}
