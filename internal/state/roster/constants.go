package roster

import "time"

// GoneRetention is how long the entry of a removed registration is kept, so that
// balancers still query the backend server for its flows: the lifetime of a flow.
const GoneRetention = time.Minute

// maxConfirmationAge is how long before the end of its time to reappear the store may
// have been available last. Registrations reappear sooner than that.
const maxConfirmationAge = 500 * time.Millisecond
