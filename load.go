package currantturn

// Load is the work of a backend server as its agent counts it.
type Load struct {
	Running int `json:"running"` // requests in progress
	Queued  int `json:"queued"`  // requests waiting for a slot
	Slots   int `json:"slots"`   // requests that may run at once
	Flows   int `json:"flows"`   // flows held
}
