package drained

import "time"

// maxConfirmationAge is how long before the end of its time to return the store may have
// been available last. The operator's orders return sooner than that.
const maxConfirmationAge = 500 * time.Millisecond
