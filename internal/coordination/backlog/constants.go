package backlog

// MaxWaiting limits the requests that wait at one agent. At a few dozen
// milliseconds each, more of them would wait past any deadline.
const MaxWaiting = 1024
