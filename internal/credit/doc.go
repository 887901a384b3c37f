// Package credit enforces the quotas of workspaces on the sum over all entryds. The
// decisions are those of pkg/quota; this package has their state, timers and messages.
//
// Issuers is the part of a targetd: it grants the credit of the workspaces for which
// entryds ask it. Accounts is the part of an entryd: it admits requests, requests credit of
// the issuers before it is needed, and refunds what was not used. docs/design/quotas.md
// describes both and their failures.
//
// # Usage
//
//	issuers := credit.NewIssuers(credit.Now(), bounds, log, scope)
//	conn.Send(issuers.Request(credit.Now(), conn.Remote().Name, connected, m))
//
//	accounts := credit.NewAccounts(credit.AccountOptions{...})
//	v := accounts.Admit(ctx, workspace, credit.Cost{Units: 700, Urgency: 0, Wait: 60 * time.Millisecond})
//	if !v.Admitted {
//		// 429 with v.RetryAfter
//	}
//	accounts.Refund(v.Charge) // if the request did not run
package credit
