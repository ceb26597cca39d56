// Package claim decides that a request key runs at most once: its owner
// records a claim before anything runs and grants it to one runner only.
//
//	receiver/runner                owner                     earlier owners
//	  Begin(attempt) ------------> record "asking" --Inquire(version)--> record "moved"
//	                               record "granted" <---Inquired(absent)---
//	  <------- Verdict(granted) --
//	  Start: deadline, attempt?
//	  ...runs...
//	  Report(answer) ------------> record "answered"
//	  <-------------- ReportAck --
//
// Every message may be lost, repeated, late or reordered. A grant is never
// taken back except by its own runner; an owner that lost its records grants
// no key issued before its start.
package claim
