package currantturn

import "time"

// TickInterval is the interval between calls of a machine's Tick.
const TickInterval = 50 * time.Millisecond
