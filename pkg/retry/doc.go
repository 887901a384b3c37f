// Package retry limits the retries of requests by a retry budget, so that retries do
// not amplify the load of a failing service, and estimates when a retry may succeed.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.Deposit() // for each request
//	if failed && b.Withdraw() {
//		// try again
//	}
package retry
