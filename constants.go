package currantturn

import "time"

// TickEvery is the interval between calls of a machine's Tick.
const TickEvery = 50 * time.Millisecond
