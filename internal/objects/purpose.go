package objects

// Purpose says what a call of the object API is for.
type Purpose string

// The purposes, in order of priority.
const (
	ForClaims        Purpose = "claims"        // claims of non-idempotent requests
	ForSuspects      Purpose = "suspects"      // requests that were in flight at a crash
	ForOutcomes      Purpose = "outcomes"      // outcomes and deletions of claims
	ForRegistration  Purpose = "registration"  // epochs and states of targets
	ForConfiguration Purpose = "configuration" // the root and its sections
	ForMembers       Purpose = "members"       // registrations of others
	ForVMs           Purpose = "vms"           // the list of live and leaving VMs
	ForOperator      Purpose = "operator"      // an operator's command
	unnamed          Purpose = "unnamed"       // a client that no purpose was given
)

// reserved returns the part of a full bucket that calls for p must leave to
// calls of higher priority.
func (p Purpose) reserved() float64 {
	switch p {
	case ForClaims, ForSuspects:
		return 0
	case ForOutcomes, ForRegistration, ForOperator:
		return 0.25
	}
	return 0.5
}

// For returns a client that makes its calls for another purpose and shares
// budget and metrics with c.
func (c *Client) For(p Purpose) *Client {
	view := *c
	view.purpose = p
	return &view
}
