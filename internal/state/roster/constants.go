package roster

import "time"

// GoneRetention is how long the entry of a removed registration is kept, so that
// balancers still query the backend server for its flows: the lifetime of a flow.
const GoneRetention = time.Minute
