// Package claim ensures that the request with a given key runs at most once.
// The key's owner records a claim before the request runs and grants it to
// one runner only.
//
//	receiver/runner                owner                     earlier owners
//	  Begin(attempt) ------------> record inquiring -Inquire(version)-> record moved
//	                               record granted <----Inquired(absent)---
//	  <------- Verdict(granted) --
//	  Start: attempt and deadline still valid?
//	  ...request runs...
//	  Report(answer) ------------> record answered
//	  <-------------- ReportAck --
//
// Messages may be lost, duplicated, delayed or reordered. Only the runner that
// holds a grant can end it. An owner that has restarted, and so lost its
// records, does not grant keys that were issued before its start.
package claim
