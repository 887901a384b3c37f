// Package retry bounds the retries of requests, so that retries don't bring a
// failing service down further, and estimates when a retry may succeed.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.Deposit() // for each request
//	if failed && b.Withdraw() {
//		// try again
//	}
package retry
