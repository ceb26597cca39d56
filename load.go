package currantturn

// Load is the work that an agent sees at its backend server itself.
type Load struct {
	Running int `json:"running"` // requests in progress
	Queued  int `json:"queued"`  // requests waiting for a slot
	Slots   int `json:"slots"`   // requests that may run at once
	Flows   int `json:"flows"`   // flows held
}
