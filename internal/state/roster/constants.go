package roster

import "time"

// RetainGone is how long a backend server whose registration is gone is still
// asked for its flows: the lifetime of a flow.
const RetainGone = time.Minute
