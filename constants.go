package currantturn

import "time"

// TickEvery is the period of the machines' Tick.
const TickEvery = 50 * time.Millisecond
